// A stand-in for a model runner: it speaks the runners' side of the protocol, keeps parts of prompts, and
// misbehaves on demand. For tests and for trying the system out (design 11.1).
import * as crypto from "node:crypto";
import * as nodeHttp from "node:http";
import type * as net from "node:net";
import * as listen from "../wire/listen.js";
import * as names from "../wire/names.js";
import * as prompts from "./prompts.js";

/** How a stand-in behaves. */
export interface RunnerOptions {
  id: string;
  capacity: number;
  /** Milliseconds between events, and tokens read a millisecond. */
  eventMs: number;
  tokensPerMs: number;
  events: number;
  /** Connections idle for longer are forgotten: what comes over them next is reset, unread. */
  forgetMs: number;
  /** The clock of forgetMs, in ms. */
  now: () => number;
}

function steady(): number {
  return performance.now();
}

/** What to do with the next request instead of serving it. */
export type Mishap = "shed" | "reset" | "cut" | "stall" | "stray" | "silent" | "no_seal" | "no_id" | "fail";

/** A quick runner that forgets nothing. */
export const DEFAULTS: RunnerOptions = { id: "i-1", capacity: 8, eventMs: 0, tokensPerMs: 0, events: 4, forgetMs: Infinity, now: steady };

/** A request as it reached the runner. */
export interface Seen {
  requestId: string;
  target: string;
  method: string;
  path: string;
  body: string;
  lastEventId: string | null;
  budgetMs: number;
  readTokens: number;
  headers: nodeHttp.IncomingHttpHeaders;
}

/** Listens on loopback. */
export class StandInRunner {
  readonly seen: Seen[] = [];
  readonly mishaps: Mishap[] = [];
  /** A mishap "stall" ends when this is called: the stream goes on where it fell silent. */
  goOn: (() => void) | null = null;
  /** A mishap "cut" breaks the stream off after so many events, "stall" falls silent after them. */
  cutAfter = 2;
  private readonly prompts = new prompts.KeptPrompts();
  private readonly server: nodeHttp.Server;
  private readonly sockets = new Set<net.Socket>();
  private readonly repliedAt = new WeakMap<net.Socket, number>();
  private active = 0;
  opened = 0;
  private readonly options: RunnerOptions;
  address = "";

  constructor(options: Partial<RunnerOptions> = {}) {
    this.options = { ...DEFAULTS, ...options };
    this.server = nodeHttp.createServer({ keepAliveTimeout: 20_000 }, (incoming, outgoing) => this.take(incoming, outgoing));
    this.server.on("connection", (socket) => this.accept(socket));
  }

  get id(): string {
    return this.options.id;
  }

  get connections(): number {
    return this.sockets.size;
  }

  private accept(socket: net.Socket): void {
    const { sockets } = this;
    this.opened += 1;
    sockets.add(socket);
    socket.once("close", sockets.delete.bind(sockets, socket));
  }

  async start(host = "127.0.0.1"): Promise<void> {
    await listen.listen(this.server, `${host}:0`);
    this.address = listen.bound(this.server);
  }

  /** Gone at once, as when the process is killed. */
  stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private take(incoming: nodeHttp.IncomingMessage, outgoing: nodeHttp.ServerResponse): void {
    const { socket } = incoming;
    const { repliedAt, options } = this;
    if (options.now() - (repliedAt.get(socket) ?? Infinity) > options.forgetMs) {
      socket.resetAndDestroy();
      return;
    }
    outgoing.once("finish", function replied() {
      repliedAt.set(socket, options.now());
    });
    const parts: Buffer[] = [];
    const serve = this.serve.bind(this, incoming, outgoing, parts);
    incoming.on("data", parts.push.bind(parts));
    incoming.on("end", serve);
  }

  private serve(incoming: nodeHttp.IncomingMessage, outgoing: nodeHttp.ServerResponse, parts: Buffer[]): void {
    const path = incoming.url ?? "/";
    if (path === "/-/report") this.report(outgoing);
    else if (path === "/health") outgoing.writeHead(200, { [names.HEADER.instance]: this.id }).end();
    else this.run(incoming, outgoing, Buffer.concat(parts).toString());
  }

  private report(outgoing: nodeHttp.ServerResponse): void {
    const body = {
      phase: "combined",
      models: [],
      utilization: false,
      sequence: 0,
      waiting_requests: 0,
      active: this.active,
      kv_used: 0,
      kv_capacity: 100_000,
      supported_models: 0,
    };
    outgoing.writeHead(200, { "Content-Type": "application/json" }).end(JSON.stringify(body));
  }

  private deny(outgoing: nodeHttp.ServerResponse, requestId: string, status: number): void {
    const headers = { "X-Cranewind-Not-Executed": "1", "X-Cranewind-Instance-Id": this.id, "Content-Length": 0 };
    // Every answer echoes the id, also one that denies.
    outgoing.writeHead(status, requestId === "" ? headers : { ...headers, "X-Cranewind-Request-Id": requestId }).end();
  }

  private run(incoming: nodeHttp.IncomingMessage, outgoing: nodeHttp.ServerResponse, body: string): void {
    const header = headerOf.bind(null, incoming);
    const requestId = header(names.HEADER.requestId);
    const target = header(names.HEADER.target);
    const mishap = this.mishaps.shift();
    if (requestId === "") this.deny(outgoing, requestId, 400);
    else if (target !== "" && target !== this.id) this.deny(outgoing, requestId, 421);
    else if (mishap === "shed" || this.active >= this.options.capacity) this.deny(outgoing, requestId, 503);
    else {
      const lastEventId = header(names.HEADER.lastEventId);
      this.seen.push({
        requestId,
        target,
        method: incoming.method ?? "",
        path: incoming.url ?? "",
        body,
        headers: incoming.headers,
        lastEventId: lastEventId === "" ? null : lastEventId,
        budgetMs: Number(header(names.HEADER.budgetMs)),
        readTokens: this.prompts.read(header(names.HEADER.prefix)),
      });
      this.reply(incoming, outgoing, requestId, mishap);
    }
  }

  private reply(
    incoming: nodeHttp.IncomingMessage,
    outgoing: nodeHttp.ServerResponse,
    requestId: string,
    mishap: Mishap | undefined,
  ): void {
    if (mishap === "silent") return;
    if (mishap === "reset") {
      incoming.socket.destroy();
      return;
    }
    const headers: Record<string, string> = {
      "X-Cranewind-Request-Id": mishap === "stray" ? "another" : requestId,
      "X-Cranewind-Response-Seal": `seal-${this.id}-${crypto.createHash("sha1").update(requestId).digest("hex").slice(0, 6)}`,
    };
    if (mishap === "no_seal") delete headers["X-Cranewind-Response-Seal"];
    if (mishap === "no_id") delete headers["X-Cranewind-Request-Id"];
    if (mishap === "fail") {
      outgoing.writeHead(500, { ...headers, "Content-Length": 4 }).end("fail");
      return;
    }
    this.active += 1;
    outgoing.once("close", () => this.closed());
    if (headerOf(incoming, names.HEADER.tokens) === "") {
      outgoing.writeHead(200, { ...headers, "Content-Type": "application/json" }).end(JSON.stringify({ by: this.id }));
      return;
    }
    outgoing.writeHead(200, { ...headers, "Content-Type": "text/event-stream" });
    this.stream(incoming, outgoing, mishap);
  }

  private closed(): void {
    this.active -= 1;
  }

  private stream(incoming: nodeHttp.IncomingMessage, outgoing: nodeHttp.ServerResponse, mishap: Mishap | undefined): void {
    const { events, eventMs, tokensPerMs } = this.options;
    const { cutAfter } = this;
    const stall = this.stall.bind(this);
    let at = Number(headerOf(incoming, names.HEADER.lastEventId) || 0);
    const started = at;
    const readMs = tokensPerMs > 0 ? (this.seen[this.seen.length - 1]?.readTokens ?? 0) / tokensPerMs : 0;
    function cut(): void {
      incoming.socket.destroy();
    }
    function next(): void {
      if (outgoing.destroyed) return;
      if (mishap === "cut" && at - started >= cutAfter) {
        outgoing.write(`id: ${at + 1}\ndata: half`, cut);
        return;
      }
      if (mishap === "stall" && at - started >= cutAfter) {
        mishap = undefined;
        stall(next);
        return;
      }
      if (at >= events) {
        outgoing.end();
        return;
      }
      at += 1;
      outgoing.write(`id: ${at}\ndata: piece ${at}\n\n`);
      if (eventMs > 0) setTimeout(next, eventMs);
      else next();
    }
    if (readMs + eventMs > 0) setTimeout(next, readMs + eventMs);
    else next();
  }

  private stall(goOn: () => void): void {
    this.goOn = goOn;
  }
}

function headerOf(incoming: nodeHttp.IncomingMessage, name: string): string {
  const value = incoming.headers[name];
  return typeof value === "string" ? value : "";
}
