/**
 * Emulates a model runner: the runners' side of the protocol, a cache of prompt prefixes, and faults on demand.
 * For tests and for trying the system out (design 11.1).
 */
import * as crypto from "node:crypto";
import * as nodeHttp from "node:http";
import type * as net from "node:net";
import * as listen from "../wire/listen.js";
import * as names from "../wire/names.js";
import * as prefixCache from "./prefix-cache.js";

/** How an emulated runner behaves. */
export interface RunnerOptions {
  id: string;
  capacity: number;
  /** Milliseconds between events, and tokens read a millisecond. */
  eventMs: number;
  tokensPerMs: number;
  events: number;
  /** A request on a connection that was idle for longer is reset, unread. */
  forgetMs: number;
  /** The clock of forgetMs, in ms. */
  now: () => number;
}

function steadyNowMs(): number {
  return performance.now();
}

/** A fault to inject into the next request. */
export type Fault = "shed" | "reset" | "cut" | "stall" | "stray" | "silent" | "no_seal" | "no_id" | "fail";

/** A fast runner without an idle timeout. */
export const DEFAULTS: RunnerOptions = {
  id: "i-1",
  capacity: 8,
  eventMs: 0,
  tokensPerMs: 0,
  events: 4,
  forgetMs: Infinity,
  now: steadyNowMs,
};

/** A request as the runner received it. */
export interface ReceivedRequest {
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
export class RunnerEmulator {
  readonly receivedRequests: ReceivedRequest[] = [];
  readonly faults: Fault[] = [];
  /** Ends the fault "stall" when called: the stream resumes where it stopped. */
  resumeStalledStream: (() => void) | null = null;
  /** The fault "cut" ends the connection after this many events, "stall" stops sending after them. */
  faultAfterEvents = 2;
  private readonly prefixCache = new prefixCache.PrefixCache();
  private readonly server: nodeHttp.Server;
  private readonly sockets = new Set<net.Socket>();
  private readonly repliedAt = new WeakMap<net.Socket, number>();
  private active = 0;
  openedConnections = 0;
  private readonly options: RunnerOptions;
  address = "";

  constructor(options: Partial<RunnerOptions> = {}) {
    this.options = { ...DEFAULTS, ...options };
    this.server = nodeHttp.createServer({ keepAliveTimeout: 20_000 }, (incoming, outgoing) => this.handleRequest(incoming, outgoing));
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
    this.openedConnections += 1;
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
  }

  async start(host = "127.0.0.1"): Promise<void> {
    await listen.listen(this.server, `${host}:0`);
    this.address = listen.bound(this.server);
  }

  /** Closes all connections at once, as when the process is killed. */
  stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private handleRequest(incoming: nodeHttp.IncomingMessage, outgoing: nodeHttp.ServerResponse): void {
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
    incoming.on("data", (part: Buffer) => parts.push(part));
    incoming.on("end", () => this.dispatch(incoming, outgoing, parts));
  }

  private dispatch(incoming: nodeHttp.IncomingMessage, outgoing: nodeHttp.ServerResponse, parts: Buffer[]): void {
    const path = incoming.url ?? "/";
    if (path === "/-/report") this.replyReport(outgoing);
    else if (path === "/health") outgoing.writeHead(200, { [names.HEADER.instance]: this.id }).end();
    else this.admitRequest(incoming, outgoing, Buffer.concat(parts).toString());
  }

  private replyReport(outgoing: nodeHttp.ServerResponse): void {
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

  private rejectRequest(outgoing: nodeHttp.ServerResponse, requestId: string, status: number): void {
    const headers = { "X-Cranewind-Not-Executed": "1", "X-Cranewind-Instance-Id": this.id, "Content-Length": 0 };
    // Every response echoes the id, also a rejection.
    outgoing.writeHead(status, requestId === "" ? headers : { ...headers, "X-Cranewind-Request-Id": requestId }).end();
  }

  private admitRequest(incoming: nodeHttp.IncomingMessage, outgoing: nodeHttp.ServerResponse, body: string): void {
    const header = (name: string): string => headerOf(incoming, name);
    const requestId = header(names.HEADER.requestId);
    const target = header(names.HEADER.target);
    const fault = this.faults.shift();
    if (requestId === "") this.rejectRequest(outgoing, requestId, 400);
    else if (target !== "" && target !== this.id) this.rejectRequest(outgoing, requestId, 421);
    else if (header(names.HEADER.expectedVersion) !== "") this.rejectRequest(outgoing, requestId, 421);
    else if (fault === "shed" || this.active >= this.options.capacity) this.rejectRequest(outgoing, requestId, 503);
    else {
      const lastEventId = header(names.HEADER.lastEventId);
      this.receivedRequests.push({
        requestId,
        target,
        method: incoming.method ?? "",
        path: incoming.url ?? "",
        body,
        headers: incoming.headers,
        lastEventId: lastEventId === "" ? null : lastEventId,
        budgetMs: Number(header(names.HEADER.budgetMs)),
        readTokens: this.prefixCache.read(header(names.HEADER.prefix)),
      });
      this.reply(incoming, outgoing, requestId, fault);
    }
  }

  private reply(incoming: nodeHttp.IncomingMessage, outgoing: nodeHttp.ServerResponse, requestId: string, fault: Fault | undefined): void {
    if (fault === "silent") return;
    if (fault === "reset") {
      incoming.socket.destroy();
      return;
    }
    const headers: Record<string, string> = {
      "X-Cranewind-Request-Id": fault === "stray" ? "another" : requestId,
      "X-Cranewind-Response-Seal": `seal-${this.id}-${crypto.createHash("sha1").update(requestId).digest("hex").slice(0, 6)}`,
    };
    if (fault === "no_seal") delete headers["X-Cranewind-Response-Seal"];
    if (fault === "no_id") delete headers["X-Cranewind-Request-Id"];
    if (fault === "fail") {
      outgoing.writeHead(500, { ...headers, "Content-Length": 4 }).end("fail");
      return;
    }
    this.active += 1;
    outgoing.once("close", () => this.onResponseClosed());
    if (headerOf(incoming, names.HEADER.tokens) === "") {
      outgoing.writeHead(200, { ...headers, "Content-Type": "application/json" }).end(JSON.stringify({ by: this.id }));
      return;
    }
    outgoing.writeHead(200, { ...headers, "Content-Type": "text/event-stream" });
    this.streamEvents(incoming, outgoing, fault);
  }

  private onResponseClosed(): void {
    this.active -= 1;
  }

  private streamEvents(incoming: nodeHttp.IncomingMessage, outgoing: nodeHttp.ServerResponse, fault: Fault | undefined): void {
    const { events, eventMs, tokensPerMs } = this.options;
    const { faultAfterEvents: cutAfter } = this;
    const stallStream = (resume: () => void): void => {
      this.resumeStalledStream = resume;
    };
    let at = Number(headerOf(incoming, names.HEADER.lastEventId) || 0);
    const started = at;
    const readMs = tokensPerMs > 0 ? (this.receivedRequests[this.receivedRequests.length - 1]?.readTokens ?? 0) / tokensPerMs : 0;
    function cut(): void {
      incoming.socket.destroy();
    }
    function next(): void {
      if (outgoing.destroyed) return;
      if (fault === "cut" && at - started >= cutAfter) {
        outgoing.write(`id: ${at + 1}\ndata: half`, cut);
        return;
      }
      if (fault === "stall" && at - started >= cutAfter) {
        fault = undefined;
        stallStream(next);
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
}

function headerOf(incoming: nodeHttp.IncomingMessage, name: string): string {
  const value = incoming.headers[name];
  return typeof value === "string" ? value : "";
}
