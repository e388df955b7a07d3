/** The connections to one runner, reused within this router's share of the service's `max_connections` (design 7.6). */
import * as http from "../wire/http.js";
import * as idleTimeout from "./idle-timeout.js";

const CONNECT_TIMEOUT_MS = 700;
/** An idle connection is closed after so long; milliseconds. */
export const IDLE_TIMEOUT_MS = 4000;

/** One connection, used by one request at a time; times are milliseconds of the steady clock. */
export class Connection {
  isClosed = false;
  /** Not established yet. */
  isFresh = true;
  /** Its socket failed, by a reset for instance. */
  hasFailed = false;
  idleSince = 0;
  /** For how long it may be idle, by the Keep-Alive of the last response. */
  keepAliveMs = Infinity;
  /** How long it was idle before its present use; -1 at its first use. */
  idleMs = -1;
  acquiredAt = 0;
  constructor(readonly client: http.Client) {}

  /** Closes it at once, with the request on it if there is one. */
  destroy(): void {
    this.isClosed = true;
    void this.client.destroy().catch(http.ignore);
  }
}

/** The connections to one runner. */
export class ConnectionPool {
  /** The one used last is at the end. */
  private readonly idle: Connection[] = [];
  private openCount = 0;

  constructor(
    private readonly address: string,
    private readonly onOpen: () => void,
    private readonly idleTimeout: idleTimeout.IdleTimeout,
  ) {}

  /**
   * The connection used last, or a new one; null when `maxOpen` are in use. A request that is not repeatable gets none that
   * was idle for so long that the runner may have closed it.
   */
  acquire(maxOpen: number, isRepeatable = true): Connection | null {
    const now = this.idleTimeout.clock.now();
    const maxIdleMs = isRepeatable ? Infinity : this.idleTimeout.maxIdleMs();
    for (let connection = this.idle.pop(); connection; connection = this.idle.pop()) {
      if (connection.isClosed) continue;
      const idleMs = now - connection.idleSince;
      if (idleMs > connection.keepAliveMs) {
        this.discard(connection);
        continue;
      }
      if (idleMs > maxIdleMs) {
        // All others were idle for longer. They stay for repeatable requests, unless a new connection needs the capacity.
        this.idle.push(connection);
        if (this.openCount >= maxOpen) this.discard(this.idle[0]);
        break;
      }
      connection.idleMs = idleMs;
      connection.acquiredAt = now;
      return connection;
    }
    if (this.openCount >= maxOpen) return null;
    return this.connect();
  }

  /** The connection was reset before any byte of a response: perhaps the runner had closed it while it was idle. */
  recordReset(connection: Connection): void {
    if (connection.idleMs < 0) return;
    this.idleTimeout.recordReset(connection.idleMs, this.idleTimeout.clock.now() - connection.acquiredAt);
  }

  private connect(): Connection {
    const client = http.open(this.address, {
      connectMs: CONNECT_TIMEOUT_MS,
      idleMs: IDLE_TIMEOUT_MS,
      onSocketError: () => {
        connection.hasFailed = true;
      },
    });
    const connection = new Connection(client);
    this.openCount += 1;
    client.on("connect", () => {
      connection.isFresh = false;
      this.onOpen();
    });
    client.on("disconnect", () => this.discard(connection));
    client.on("connectionError", () => this.discard(connection));
    return connection;
  }

  private discard(connection: Connection): void {
    if (connection.isClosed) return;
    connection.destroy();
    this.openCount -= 1;
    const position = this.idle.indexOf(connection);
    if (position >= 0) this.idle.splice(position, 1);
  }

  /** Takes a connection back. `isReusable`: it may carry another request; `keepAlive`: that field of the last response. */
  release(connection: Connection, isReusable: boolean, keepAlive?: string): void {
    if (connection.isClosed) return;
    connection.idleSince = this.idleTimeout.clock.now();
    connection.keepAliveMs = idleTimeout.parseKeepAliveMs(keepAlive);
    if (isReusable) this.idle.push(connection);
    else this.discard(connection);
  }

  closeIdle(): void {
    for (const connection of this.idle.splice(0)) this.discard(connection);
  }
}
