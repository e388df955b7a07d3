// Connections to one runner, kept and reused within this router's part of the bound (design 7.6).
import * as http from "../wire/http.js";

const CONNECT_MS = 700;
const IDLE_MS = 4000;

export class Connection {
  isClosed = false;
  isFresh = true;
  constructor(readonly client: http.Client) {}

  destroy(): void {
    this.isClosed = true;
    void this.client.destroy().catch(http.ignore);
  }
}

export class Connections {
  private readonly idle: Connection[] = [];
  private open = 0;

  constructor(private readonly address: string, private readonly onOpen: () => void) {}

  /** The connection used last, or a new one within the bound; null when all are busy. */
  take(most: number): Connection | null {
    for (let connection = this.idle.pop(); connection; connection = this.idle.pop()) {
      if (connection.isClosed) continue;
      return connection;
    }
    if (this.open >= most) return null;
    return this.make();
  }

  private make(): Connection {
    const connection = new Connection(http.open(this.address, { connectMs: CONNECT_MS, idleMs: IDLE_MS }));
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
    const place = this.idle.indexOf(connection);
    if (place >= 0) this.idle.splice(place, 1);
  }

  /** Gives a connection back; one that is not clean is closed. */
  give(connection: Connection, isClean: boolean): void {
    if (connection.isClosed) return;
    if (isClean) this.idle.push(connection);
    else this.lost(connection);
  }

  closeIdle(): void {
    for (const connection of this.idle.splice(0)) this.lost(connection);
  }
}
