// Operators and clients of a system of processes: each call with its times and what came of it, for the checker.
import * as nodeHttp from "node:http";
import type * as history from "../model/history.js";

const CALL_MS = 3000;
const MAX_REDIRECTS = 2;

export interface Reply {
  status: number;
  location: string | undefined;
  body: string;
}

/** Null: no answer. */
export function call(
  address: string,
  method: string,
  path: string,
  headers: Record<string, string> = {},
  body = "",
  withinMs = CALL_MS,
): Promise<Reply | null> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const options = { host, port, method, path, headers: { ...headers, "Content-Length": Buffer.byteLength(body) }, agent: false };
    const request = nodeHttp.request(options, (response) => {
      const parts: Buffer[] = [];
      response.on("data", (part: Buffer) => parts.push(part));
      response.on("end", () => {
        const { statusCode = 0 } = response;
        resolve({ status: statusCode, location: response.headers.location, body: Buffer.concat(parts).toString() });
      });
      response.on("error", () => resolve(null));
    });
    request.on("error", () => resolve(null));
    request.setTimeout(withinMs, () => request.destroy());
    request.end(body);
  });
}

/** One operator that reaches some of the control nodes, and writes down what it sees. */
export class OperatorCaller {
  private next = 0;

  constructor(
    private readonly name: string,
    private readonly addresses: readonly string[],
    private readonly seen: history.History,
    private readonly document: (revision: number, mark: string) => object,
  ) {}

  /** Follows redirects to nodes that it reaches; null without an answer. */
  private async callAny(method: string, path: string, headers: Record<string, string>, body: string): Promise<Reply | null> {
    let address = this.addresses[this.next++ % this.addresses.length];
    for (let hop = 0; hop <= MAX_REDIRECTS; hop += 1) {
      const reply = await call(address, method, path, headers, body);
      if (reply?.status !== 307 || !reply.location) return reply;
      address = new URL(reply.location).host;
      if (!this.addresses.includes(address)) return null;
    }
    return null;
  }

  /** The revision that a majority confirms, or null. */
  async read(): Promise<number | null> {
    const startMs = performance.now();
    const reply = await this.callAny("GET", "/-/Config.Describe", {}, "");
    if (reply?.status !== 200) return null;
    const { revision, routes } = JSON.parse(reply.body) as { revision: number; routes: { name: string }[] };
    const mark = routes.map(({ name }) => name).find((name) => name.startsWith("mark-")) ?? "";
    this.seen.reads.push({ revision, mark: mark.slice("mark-".length), startMs, endMs: performance.now() });
    return revision;
  }

  /** One order on this base; what came of it. */
  async order(base: number, revision: number): Promise<history.Sending["reply"]> {
    const mark = `${this.name}-${base}-${revision}`;
    const startMs = performance.now();
    const headers = { "Content-Type": "application/json", "X-Cranewind-Base-Version": String(base) };
    const reply = await this.callAny("POST", "/-/Config.Replace", headers, JSON.stringify(this.document(revision, mark)));
    const outcome = reply?.status === 200 ? "confirmed" : reply && reply.status < 500 && reply.status !== 307 ? "refused" : "unclear";
    this.seen.sendings.push({ mark, base, revision, startMs, endMs: performance.now(), reply: outcome });
    return outcome;
  }
}
