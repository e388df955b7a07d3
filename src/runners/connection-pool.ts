// Connections to one runner, kept and reused within this router's part of the bound (design 7.6).
import * as http from "../wire/http.js";
import * as idleTimeout from "./idle-timeout.js";

const CONNECT_TIMEOUT_MS = 700;
/** An idle connection is closed after so long. */
export const IDLE_TIMEOUT_MS = 4000;

/** One connection, used by one request at a time. */
export class Connection {
  isClosed = false;
  isFresh = true;
  /** Its socket ended with an error, a reset for instance. */
  hasFailed = false;
  /** Since when it is idle, for how long it may be, and how long it was before its present use; -1 at its first. */
  idleSince = 0;
  keepAliveMs = Infinity;
  idleMs = -1;
  acquiredAt = 0;
  constructor(readonly client: http.Client) {}

  destroy(): void {
    this.isClosed = true;
    void this.client.destroy().catch(http.ignore);
  }
}

/** The connections to one runner. */
export class ConnectionPool {
  private readonly idle: Connection[] = [];
  private openCount = 0;

  constructor(
    private readonly address: string,
    private readonly onOpen: () => void,
    private readonly idleTimeout: idleTimeout.IdleTimeout,
  ) {}

  /** The connection used last, or a new one within the bound; null when all are busy. */
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
        // The others were idle for longer. They stay for what is repeatable, unless the bound asks for the place.
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

  /** It was reset without a byte of reply: perhaps the runner had forgotten it. */
  recordReset(connection: Connection): void {
    if (connection.idleMs >= 0) this.idleTimeout.recordReset(connection.idleMs, this.idleTimeout.clock.now() - connection.acquiredAt);
  }

  private connect(): Connection {
    const client = http.open(this.address, { connectMs: CONNECT_TIMEOUT_MS, idleMs: IDLE_TIMEOUT_MS, onSocketError: failed });
    const connection = new Connection(client);
    function failed(): void {
      connection.hasFailed = true;
    }
    const lost = this.discard.bind(this, connection);
    const opened = this.onOpen;
    this.openCount += 1;
    connection.client.on("connect", function up() {
      connection.isFresh = false;
      opened();
    });
    connection.client.on("disconnect", lost);
    connection.client.on("connectionError", lost);
    return connection;
  }

  private discard(connection: Connection): void {
    if (connection.isClosed) return;
    connection.destroy();
    this.openCount -= 1;
    const position = this.idle.indexOf(connection);
    if (position >= 0) this.idle.splice(position, 1);
  }

  /** Gives a connection back, with the Keep-Alive of its reply; one that is not clean is closed. */
  release(connection: Connection, isClean: boolean, keepAlive?: string): void {
    if (connection.isClosed) return;
    connection.idleSince = this.idleTimeout.clock.now();
    connection.keepAliveMs = idleTimeout.parseKeepAliveMs(keepAlive);
    if (isClean) this.idle.push(connection);
    else this.discard(connection);
  }

  closeIdle(): void {
    for (const connection of this.idle.splice(0)) this.discard(connection);
  }
}
