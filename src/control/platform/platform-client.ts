/** Client of the platform's instance API: reads the endpoint list page by page (design 4.4). */
import * as http from "../../wire/http.js";
import * as schema from "../../wire/schema.js";
import * as types from "../../wire/types.js";
import * as timers from "../../runtime/timers.js";
import * as jsonBounds from "../../runtime/json-bounds.js";
import type * as withheldVersions from "./withheld-versions.js";

const CALL_TIMEOUT_MS = 900;
const IDLE_CONNECTION_MS = 4000;
const MAX_PAGES = 200;
/** Milliseconds over the rate limit that all nodes share: pages of one reading use half of it. */
const PAGE_INTERVAL_FACTOR_MS = 2000;

/** One page of the platform's JSON. */
interface Page {
  instances?: unknown[];
  next_page_token?: string | null;
}

function readInteger(value: unknown, fallback: number): number {
  return typeof value === "number" && Number.isFinite(value) ? Math.round(value) : fallback;
}

/** Decodes one entry of the platform's list; null where it is not readable. */
export function readInstance(item: unknown): withheldVersions.ListedRunner | null {
  const raw = item as Record<string, unknown>;
  if (typeof raw !== "object" || raw === null) return null;
  const { instance_id: id, service, address, zone } = raw;
  if (typeof id !== "string" || typeof service !== "string" || typeof address !== "string" || typeof zone !== "string") return null;
  const instance: schema.Instance = {
    id: types.small(id),
    service,
    address,
    zone,
    capacity: readInteger(raw["capacity"], 1),
    isDraining: raw["state"] !== "ready",
    coldMs: readInteger(raw["warmup_left_ms"], 0),
    leavesMs: readInteger(raw["remaining_ms"], -1),
  };
  const { revision } = raw;
  return { instance, version: typeof revision === "string" ? revision : "" };
}

function parsePage(body: Buffer): Page | null {
  try {
    return jsonBounds.parse(body) as Page;
  } catch {
    return null;
  }
}

/** Owns one connection to the platform's API. */
export class PlatformClient {
  private client: http.Client | null = null;

  /** `address`: empty where there is no platform; `ratePerS`: calls a second that all control nodes may make together. */
  constructor(
    private readonly clock: types.Clock,
    private address: string,
    private readonly ratePerS: number,
  ) {}

  /** Whether there is a platform to read from. */
  get hasAddress(): boolean {
    return this.address !== "";
  }

  /** Reads all pages; null when any of them fails. Entries that are not readable are left out. */
  async readInstances(): Promise<withheldVersions.ListedRunner[] | null> {
    const listed: withheldVersions.ListedRunner[] = [];
    let token: string | null = null;
    for (let page = 0; page < MAX_PAGES; page += 1) {
      if (page > 0) await timers.sleep(this.clock, PAGE_INTERVAL_FACTOR_MS / this.ratePerS);
      const body = await this.readPage(token);
      if (!body) return null;
      for (const item of body.instances ?? []) {
        const runner = readInstance(item);
        if (runner) listed.push(runner);
      }
      token = body.next_page_token ?? null;
      if (token === null) return listed;
    }
    return null;
  }

  private async readPage(token: string | null): Promise<Page | null> {
    this.client ??= http.open(this.address, { connectMs: CALL_TIMEOUT_MS, idleMs: IDLE_CONNECTION_MS });
    const path = token === null ? "/instances" : `/instances?page_token=${encodeURIComponent(token)}`;
    const response = await http.call(this.clock, this.client, path, { timeoutMs: CALL_TIMEOUT_MS });
    if (!response) this.close();
    return response?.status === 200 ? parsePage(response.body) : null;
  }

  /** Further calls go to this address. */
  setAddress(address: string): void {
    if (address === this.address) return;
    this.address = address;
    this.close();
  }

  /** Closes the connection; the next call opens another. */
  close(): void {
    void this.client?.destroy().catch(http.ignore);
    this.client = null;
  }
}
