/**
 * The connections to an HTTP server of ours, and the exchanges that are open on them (design 7.1, 7.11). An exchange begins
 * with the head of a request and ends when the last byte of its response was handed to the system, or the connection is
 * gone: a response that is merely complete may still have bytes in this process.
 */
import type * as nodeHttp from "node:http";
import * as net from "node:net";

/** What one connection has carried. */
interface ConnectionUse {
  /** Exchanges since it was opened. */
  begun: number;
  /** Exchanges that are open now: more than one where a client sends requests ahead of responses. */
  readonly open: Set<Exchange>;
}

interface Exchange {
  readonly outgoing: nodeHttp.ServerResponse;
  /** Milliseconds of the steady clock. */
  arrivedAt: number;
  isFirstOnConnection: boolean;
  /** Waits until all responses before its own are sent. */
  onTurn: (() => void) | null;
}

/** Where the requests of the open exchanges came from. */
export interface ExchangeOrigins {
  /** Milliseconds of the steady clock; -Infinity without an open exchange. */
  newestArrivedAt: number;
  /** Requests that were not the first on their connection. */
  onReusedConnections: number;
}

/** One for each server. */
export class HttpConnections {
  private readonly uses = new Map<net.Socket, ConnectionUse>();
  private readonly exchanges = new Set<Exchange>();
  private readonly idleListeners: (() => void)[] = [];
  private isAccepting = true;

  /** To be made before the server listens. The caller reports each request by `beginExchange`. */
  constructor(private readonly server: nodeHttp.Server) {
    server.on("connection", (socket) => this.add(socket));
  }

  /** Exchanges that are open now, over all connections. */
  get openCount(): number {
    return this.exchanges.size;
  }

  private add(socket: net.Socket): void {
    const use = { begun: 0, open: new Set<Exchange>() };
    this.uses.set(socket, use);
    socket.once("close", () => {
      this.uses.delete(socket);
      for (const { outgoing } of [...use.open]) closeUnassigned(outgoing);
    });
  }

  /** The head of a request has arrived. Returns how many exchanges are open on its connection, with this one. */
  beginExchange(socket: net.Socket, outgoing: nodeHttp.ServerResponse, arrivedAt: number): number {
    const use = this.uses.get(socket) ?? { begun: 0, open: new Set() };
    const exchange: Exchange = { outgoing, arrivedAt, isFirstOnConnection: use.begun === 0, onTurn: null };
    use.begun += 1;
    use.open.add(exchange);
    this.exchanges.add(exchange);
    outgoing.once("close", () => {
      this.exchanges.delete(exchange);
      use.open.delete(exchange);
      // A response whose head was sent earlier does not say that its connection ends.
      if (!this.isAccepting && use.open.size === 0) closeAfterLastByte(socket);
      if (this.exchanges.size === 0) for (const notify of this.idleListeners.splice(0)) notify();
      // A response that was made the last one ends its connection after this.
      if (outgoing.shouldKeepAlive) startNext(socket, use);
    });
    return use.open.size;
  }

  /**
   * Calls `run` once all responses before this one on its connection are sent, at once where there are none; never where the
   * connection ends before: the request behind this response has not begun then.
   */
  whenItsTurn(socket: net.Socket, outgoing: nodeHttp.ServerResponse, run: () => void): void {
    const [first, ...later] = this.uses.get(socket)?.open ?? [];
    const exchange = later.find((other) => other.outgoing === outgoing);
    if (first && exchange) exchange.onTurn = run;
    else run();
  }

  /** Resolves when no exchange is open. */
  async whenIdle(): Promise<void> {
    if (this.exchanges.size > 0) await new Promise<void>((resolve) => this.idleListeners.push(resolve));
  }

  /** Where the requests under way come from. */
  origins(): ExchangeOrigins {
    const origins = { newestArrivedAt: Number.NEGATIVE_INFINITY, onReusedConnections: 0 };
    for (const { arrivedAt, isFirstOnConnection } of this.exchanges) {
      origins.newestArrivedAt = Math.max(origins.newestArrivedAt, arrivedAt);
      if (!isFirstOnConnection) origins.onReusedConnections += 1;
    }
    return origins;
  }

  /**
   * Accepts no more connections, and closes those that rest between two requests, now and from now on. One that has carried
   * no request yet stays open: its first request may be on the way, and is to be answered.
   */
  stopAccepting(): void {
    this.isAccepting = false;
    // Not the close of the HTTP server: that destroys connections whose responses are complete but not sent to the last byte.
    net.Server.prototype.close.call(this.server);
    for (const [socket, use] of this.uses) if (use.open.size === 0 && use.begun > 0) closeAfterLastByte(socket);
  }
}

/** The exchange whose response is due now begins, if it waited and its response can still be sent. */
function startNext(socket: net.Socket, use: ConnectionUse): void {
  const [next] = use.open;
  if (!next?.onTurn || !socket.writable) return;
  const run = next.onTurn;
  next.onTurn = null;
  run();
}

/** Ends a response that waited behind another one when its connection closed: the runtime tells this only to the one that is being sent. */
function closeUnassigned(outgoing: nodeHttp.ServerResponse): void {
  outgoing.destroy();
  outgoing.emit("close");
}

/**
 * Reads nothing more from a connection, whose last response is under way: parsing what a peer has sent ahead can cost more than the
 * peer's requests. Requests that were read before would have the reading begin again.
 */
export function stopReading(socket: net.Socket): void {
  socket.pause();
  socket.on("resume", () => socket.pause());
}

/** Ends a connection with this response, in the turn in which it is handed to the system: nothing more that the peer sent ahead is parsed. */
export function endAtOnce(socket: net.Socket, outgoing: nodeHttp.ServerResponse): void {
  outgoing.once("finish", () => socket.destroy());
}

/** Closes the connection once all that was written to it is handed to the system. */
function closeAfterLastByte(socket: net.Socket): void {
  socket.end(() => socket.destroy());
}
