// Outgoing HTTP by undici; only its single-connection client is used, none of its pools or proxies (design 7.6).
import type * as net from "node:net";
import type * as undici from "undici";
import * as undiciClient from "undici/lib/dispatcher/client.js";
import * as undiciConnect from "undici/lib/core/connect.js";
import * as byteCollector from "./byte-collector.js";
import * as types from "./types.js";

const ClientClass = ((undiciClient as { default?: unknown }).default ?? undiciClient) as typeof undici.Client;
const buildConnector = ((undiciConnect as { default?: unknown }).default ?? undiciConnect) as typeof undici.buildConnector;
/** One connection of the library. */
export type Client = undici.Client;

/** Times are milliseconds. */
export interface ClientOptions {
  connectMs: number;
  idleMs: number;
  headerBytes?: number;
  /** Called when the client's socket fails, before any answer is ended by that failure; at most twice. */
  onSocketError?: () => void;
  /** Called with each connection that is established, before its first request. */
  onSocket?: (socket: net.Socket) => void;
}

/**
 * Calls `onFailure` when a socket fails. Where the last bytes and a reset arrive at once, the runtime emits "end" and
 * no "error"; the reset then shows in that the socket no longer has a peer (ENOTCONN), as one that ended in order has.
 * Nobody may have asked for the peer's address before, since the runtime remembers it.
 */
function watchFailure(socket: net.Socket, onFailure: () => void): void {
  socket.prependOnceListener("error", onFailure);
  socket.prependOnceListener("end", function ended() {
    if (socket.remoteAddress === undefined) onFailure();
  });
}

/** The library's own connector; the listeners are the socket's first, so they hear of a failure before the library does. */
function connector(options: ClientOptions): undici.buildConnector.connector {
  const { onSocketError, onSocket } = options;
  const connect = buildConnector({ timeout: options.connectMs });
  if (!onSocketError && !onSocket) return connect;
  return function watched(target, callback) {
    connect(target, function connected(...result) {
      if (result[1] && onSocketError) watchFailure(result[1], onSocketError);
      if (result[1]) onSocket?.(result[1]);
      callback(...result);
    });
  };
}

/** A client for one address; it connects with its first request. */
export function open(address: string, options: ClientOptions): undici.Client {
  return new ClientClass(`http://${address}`, {
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: options.idleMs,
    keepAliveMaxTimeout: 600_000,
    keepAliveTimeoutThreshold: 1000,
    maxHeaderSize: options.headerBytes ?? 16384,
    connect: connector(options),
  });
}

/** A whole reply. */
export interface Reply {
  status: number;
  headers: Map<string, string>;
  body: Buffer;
}

/** The raw name and value pairs that undici hands over, as a map with lower-case names. */
export function headerMap(raw: readonly Buffer[]): Map<string, string> {
  const map = new Map<string, string>();
  for (let index = 0; index + 1 < raw.length; index += 2) {
    map.set(raw[index].toString("latin1").toLowerCase(), raw[index + 1].toString("latin1"));
  }
  return map;
}

class Collector {
  private status = 0;
  private headers = new Map<string, string>();
  private readonly body = new byteCollector.ByteCollector();
  constructor(
    private readonly maxBytes: number,
    private readonly connected: () => void,
    private readonly done: (reply: Reply | null) => void,
  ) {}
  abort: (() => void) | null = null;
  onConnect(abort: () => void): void {
    this.abort = abort;
    this.connected();
  }
  onHeaders(status: number, raw: Buffer[]): boolean {
    this.status = status;
    this.headers = headerMap(raw);
    return true;
  }
  onData(chunk: Buffer): boolean {
    if (this.body.length + chunk.length > this.maxBytes) this.abort?.();
    else this.body.append(chunk);
    return true;
  }
  onComplete(): void {
    this.done({ status: this.status, headers: this.headers, body: this.body.take() });
  }
  onError(): void {
    this.done(null);
  }
}

/** How a call is made; times are milliseconds. */
export interface CallOptions {
  method?: "GET" | "POST";
  headers?: Record<string, string>;
  body?: Buffer;
  timeoutMs: number;
  maxBytes?: number;
  /** Called right before the first byte of the request is sent: without it, nothing was. */
  onConnect?: () => void;
}

/** Null when no whole reply came in time. */
export function call(clock: types.Clock, client: undici.Client, path: string, options: CallOptions): Promise<Reply | null> {
  return new Promise(function start(resolve) {
    let isOver = false;
    function finish(reply: Reply | null): void {
      if (isOver) return;
      isOver = true;
      tick.stop();
      resolve(reply);
    }
    function late(): void {
      if (collector.abort) collector.abort();
      else void client.destroy().catch(ignore);
      finish(null);
    }
    const tick = clock.schedule(options.timeoutMs, late);
    const collector = new Collector(options.maxBytes ?? 8 * 1024 * 1024, options.onConnect ?? ignore, finish);
    client.dispatch({ path, method: options.method ?? "GET", headers: options.headers ?? {}, body: options.body ?? null }, collector);
  });
}

/** For promises whose failure needs no answer. */
export function ignore(): void {
  // Nothing to do: the connection is given up either way.
}
