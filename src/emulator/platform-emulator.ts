/** Emulates the platform's paged list of runners (design 11.1). */
import * as nodeHttp from "node:http";
import * as listen from "../wire/listen.js";

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

/** Listens on loopback. */
export class PlatformEmulator {
  instances: ListedInstance[] = [];
  calls = 0;
  address = "";
  private readonly server = nodeHttp.createServer((incoming, outgoing) => this.reply(incoming, outgoing));

  constructor(private readonly pageSize = 50) {}

  async start(address = "127.0.0.1:0"): Promise<void> {
    await listen.listen(this.server, address);
    this.address = listen.bound(this.server);
  }

  private reply(incoming: nodeHttp.IncomingMessage, outgoing: nodeHttp.ServerResponse): void {
    const url = new URL(incoming.url ?? "/", "http://platform");
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

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
