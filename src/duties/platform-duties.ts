/** The calls to the platform that are the duty of one node at a time, under its fencing token (design/duties 5). */
import type * as net from "node:net";
import * as log from "../runtime/log.js";
import type * as dutySchema from "../wire/duty-schema.js";
import * as http from "../wire/http.js";
import * as names from "../wire/names.js";
import type * as types from "../wire/types.js";

/** A call that takes longer is given up. */
export const CALL_TIMEOUT_MS = 800;
/** The library's own time-out; the connection is reset before. */
const BACKUP_TIMEOUT_MS = CALL_TIMEOUT_MS + 100;
const IDLE_CONNECTION_MS = 4000;
const CONFLICT = 409;
const TOO_MANY_REQUESTS = 429;

/** How a call ended. */
export type DutyOutcome =
  | "accepted"
  | "fenced" // the platform has seen a higher fencing token
  | "invalid" // it is of no use to send the call again
  | "unknown"; // no reply, a failure, or over the rate: it may be carried out later

/** Who calls. */
export interface DutyHolder {
  /** Name of the node. */
  name: string;
  fence: number;
}

/** One connection to the platform; one call at a time. */
export class PlatformDuties {
  private client: http.Client | null = null;
  private socket: net.Socket | null = null;

  /** `address`: empty where there is no platform. */
  constructor(
    private readonly clock: types.Clock,
    private address: string,
  ) {}

  /** Sends a decided usage report. */
  reportUsage(holder: DutyHolder, report: dutySchema.DecidedReport): Promise<DutyOutcome> {
    return this.post("/usage", holder, `{"window_id":${report.window},"counts":${report.counts}}`);
  }

  /** Orders how many runners of a service run in a zone. */
  orderRunners(holder: DutyHolder, order: dutySchema.RunnerOrder): Promise<DutyOutcome> {
    const { service, zone, desired } = order;
    return this.post("/scaling", holder, JSON.stringify({ service, zone, desired_count: desired }));
  }

  private async post(path: string, holder: DutyHolder, body: string): Promise<DutyOutcome> {
    this.client ??= http.open(this.address, {
      connectMs: CALL_TIMEOUT_MS,
      idleMs: IDLE_CONNECTION_MS,
      onSocket: (socket) => (this.socket = socket),
    });
    const headers = {
      "content-type": "application/json",
      [names.HEADER.dutyHolder]: holder.name,
      [names.HEADER.fence]: String(holder.fence),
    };
    const timer = this.clock.schedule(CALL_TIMEOUT_MS, () => this.reset());
    const call = { method: "POST" as const, headers, body: Buffer.from(body), timeoutMs: BACKUP_TIMEOUT_MS };
    const response = await http.call(this.clock, this.client, path, call);
    timer.stop();
    if (!response) this.reset();
    const outcome = response ? outcomeOf(response.status) : "unknown";
    log.count(`duties.call_${outcome}`);
    return outcome;
  }

  /**
   * Bytes of an abandoned call that are still on their way would arrive after a successor's calls: a reset connection drops
   * them, a closed one does not.
   */
  private reset(): void {
    if (this.socket && !this.socket.destroyed) this.socket.resetAndDestroy();
    this.close();
  }

  /** Further calls go to this address. */
  setAddress(address: string): void {
    if (address === this.address) return;
    this.address = address;
    this.reset();
  }

  /** Closes the connection; the next call opens another. */
  close(): void {
    this.socket = null;
    void this.client?.destroy().catch(http.ignore);
    this.client = null;
  }
}

function outcomeOf(status: number): DutyOutcome {
  if (status >= 200 && status < 300) return "accepted";
  if (status === CONFLICT) return "fenced";
  return status >= 400 && status < 500 && status !== TOO_MANY_REQUESTS ? "invalid" : "unknown";
}
