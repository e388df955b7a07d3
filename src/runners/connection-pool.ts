// Connections to one runner, kept and reused within this router's part of the bound (design 7.6).
import * as http from "../wire/http.js";
import * as idleTimeout from "./idle-timeout.js";

const CONNECT_TIMEOUT_MS = 700;
/** An idle connection is closed after so long. */
export const IDLE_MS = 4000;

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
  takenAt = 0;
  constructor(readonly client: http.Client) {}

  destroy(): void {
    this.isClosed = true;
    void this.client.destroy().catch(http.ignore);
  }
}

/** The connections to one runner. */
export class ConnectionPool {
  private readonly idle: Connection[] = [];
  private open = 0;

  constructor(
    private readonly address: string,
    private readonly onOpen: () => void,
    private readonly limit: idleTimeout.IdleTimeout,
  ) {}

  /** The connection used last, or a new one within the bound; null when all are busy. */
  take(maxOpen: number, isRepeatable = true): Connection | null {
    const now = this.limit.world.now();
    const maxIdleMs = isRepeatable ? Infinity : this.limit.maxIdleMs();
    for (let connection = this.idle.pop(); connection; connection = this.idle.pop()) {
      if (connection.isClosed) continue;
      const idleMs = now - connection.idleSince;
      if (idleMs > connection.keepAliveMs) {
        this.lost(connection);
        continue;
      }
      if (idleMs > maxIdleMs) {
        // The others were idle for longer. They stay for what is repeatable, unless the bound asks for the place.
        this.idle.push(connection);
        if (this.open >= maxOpen) this.lost(this.idle[0]);
        break;
      }
      connection.idleMs = idleMs;
      connection.takenAt = now;
      return connection;
    }
    if (this.open >= maxOpen) return null;
    return this.make();
  }

  /** It was reset without a byte of reply: perhaps the runner had forgotten it. */
  broke(connection: Connection): void {
    if (connection.idleMs >= 0) this.limit.learn(connection.idleMs, this.limit.world.now() - connection.takenAt);
  }

  private make(): Connection {
    const client = http.open(this.address, { connectMs: CONNECT_TIMEOUT_MS, idleMs: IDLE_MS, onSocketError: failed });
    const connection = new Connection(client);
    function failed(): void {
      connection.hasFailed = true;
    }
    const lost = this.lost.bind(this, connection);
    const opened = this.onOpen;
    this.open += 1;
    connection.client.on("connect", function up() {
      connection.isFresh = false;
      opened();
    });
    connection.client.on("disconnect", lost);
    connection.client.on("connectionError", lost);
    return connection;
  }

  private lost(connection: Connection): void {
    if (connection.isClosed) return;
    connection.destroy();
    this.open -= 1;
    const position = this.idle.indexOf(connection);
    if (position >= 0) this.idle.splice(position, 1);
  }

  /** Gives a connection back, with the Keep-Alive of its reply; one that is not clean is closed. */
  give(connection: Connection, isClean: boolean, keepAlive?: string): void {
    if (connection.isClosed) return;
    connection.idleSince = this.limit.world.now();
    connection.keepAliveMs = idleTimeout.keepAliveMs(keepAlive);
    if (isClean) this.idle.push(connection);
    else this.lost(connection);
  }

  closeIdle(): void {
    for (const connection of this.idle.splice(0)) this.lost(connection);
  }
}
