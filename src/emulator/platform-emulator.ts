/** Emulates the platform: its paged list of runners, and the calls that are the duty of one node (design 11.1). */
import * as nodeHttp from "node:http";
import * as listen from "../wire/listen.js";
import * as names from "../wire/names.js";

const DUTY_PATHS: ReadonlySet<string> = new Set(["/usage", "/scaling"]);
const CONFLICT = 409;
/** Calls of duties that are kept. */
const MAX_DUTY_CALLS = 1000;

/** An entry of the list, as the protocol has it. */
export interface ListedInstance {
  instance_id: string;
  service: string;
  address: string;
  zone: string;
  revision: string;
  capacity: number;
  state: "ready" | "draining";
  warmup_left_ms: number;
  remaining_ms?: number;
}

/** A call under a fencing token, as it arrived. */
export interface DutyCall {
  path: string;
  holder: string;
  fence: number;
  body: unknown;
}

/** How the platform treats the calls of duties. */
export interface DutyBehaviour {
  /** Calls with a lower fencing token than one seen for the same path get 409. */
  isFencing: boolean;
  /** Replies with this status instead of 200; 0: no reply at all. */
  status: number;
}

/** Listens on loopback. */
export class PlatformEmulator {
  instances: ListedInstance[] = [];
  calls = 0;
  address = "";
  readonly dutyCalls: DutyCall[] = [];
  readonly duties: DutyBehaviour = { isFencing: true, status: 200 };
  private readonly highestFences = new Map<string, number>();
  private readonly server = nodeHttp.createServer((incoming, outgoing) => this.reply(incoming, outgoing));

  constructor(private readonly pageSize = 50) {}

  async start(address = "127.0.0.1:0"): Promise<void> {
    await listen.listen(this.server, address);
    this.address = listen.bound(this.server);
  }

  private reply(incoming: nodeHttp.IncomingMessage, outgoing: nodeHttp.ServerResponse): void {
    const url = new URL(incoming.url ?? "/", "http://platform");
    if (incoming.method === "POST" && DUTY_PATHS.has(url.pathname)) {
      void this.replyToDuty(url.pathname, incoming, outgoing);
      return;
    }
    if (url.pathname !== "/instances") {
      outgoing.writeHead(404).end();
      return;
    }
    this.calls += 1;
    const from = Number(url.searchParams.get("page_token") ?? 0);
    const page = this.instances.slice(from, from + this.pageSize);
    const next = from + this.pageSize < this.instances.length ? String(from + this.pageSize) : null;
    outgoing.writeHead(200, { "Content-Type": "application/json" }).end(JSON.stringify({ instances: page, next_page_token: next }));
  }

  private async replyToDuty(path: string, incoming: nodeHttp.IncomingMessage, outgoing: nodeHttp.ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of incoming) chunks.push(chunk as Buffer);
    const fence = Number(incoming.headers[names.HEADER.fence]);
    const holder = String(incoming.headers[names.HEADER.dutyHolder]);
    this.dutyCalls.push({ path, holder, fence, body: JSON.parse(Buffer.concat(chunks).toString("utf8")) });
    if (this.dutyCalls.length > MAX_DUTY_CALLS) this.dutyCalls.shift();
    const highest = this.highestFences.get(path) ?? 0;
    this.highestFences.set(path, Math.max(highest, fence));
    if (this.duties.status === 0) return;
    const isFenced = this.duties.isFencing && fence < highest;
    outgoing.writeHead(isFenced ? CONFLICT : this.duties.status).end();
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
