/**
 * Hollow runners: reports and health answers without work, all behind one process, and the platform that lists them.
 * Each report differs from the one before, as those of busy runners do (design/experiment 2).
 */
import * as nodeHttp from "node:http";
import * as net from "node:net";
import * as platformEmulator from "../emulator/platform-emulator.js";
import * as listen from "../wire/listen.js";
import * as names from "../wire/names.js";
import * as types from "../wire/types.js";
import * as timers from "../runtime/timers.js";

const PAGE = 200;
const CAPACITY = 16;
const KV_TOKENS = 100_000;

/** All hollow runners and the platform of a run. */
export class RunnerGroup {
  private readonly platform = new platformEmulator.PlatformEmulator(PAGE);
  private readonly idAt = new Map<string, string>();
  private readonly front = nodeHttp.createServer({ keepAliveTimeout: 20_000 }, (incoming, outgoing) => this.onRequest(incoming, outgoing));
  private readonly sockets = new Set<net.Socket>();
  private readonly listeners: net.Server[] = [];
  private reports = 0;
  private changed = 0;
  private timer: types.Timer | null = null;

  constructor(private readonly clock: types.Clock) {}

  /** Listens at each runner's address, then at the platform's. */
  async start(platformAddress: string, instances: platformEmulator.ListedInstance[], listChangesPerS: number): Promise<void> {
    for (const instance of instances) {
      const server = net.createServer((socket) => this.opened(socket));
      await listen.listen(server, instance.address);
      this.idAt.set(instance.address, instance.instance_id);
      this.listeners.push(server);
    }
    this.platform.instances = instances;
    await this.platform.start(platformAddress);
    if (listChangesPerS > 0) this.timer = timers.runPeriodically(this.clock, 1000 / listChangesPerS, () => this.changeList());
  }

  private opened(socket: net.Socket): void {
    const { sockets } = this;
    sockets.add(socket);
    socket.once("close", function closed() {
      sockets.delete(socket);
    });
    this.front.emit("connection", socket);
  }

  /** One runner after the other changes in the list, which is then news to all. */
  private changeList(): void {
    const { instances } = this.platform;
    const item = instances[this.changed % instances.length];
    this.changed += 1;
    item.capacity = item.capacity === CAPACITY ? CAPACITY + 1 : CAPACITY;
  }

  private onRequest(incoming: nodeHttp.IncomingMessage, outgoing: nodeHttp.ServerResponse): void {
    const { localAddress, localPort } = incoming.socket;
    if (incoming.url === "/-/report") this.report(outgoing);
    else
      outgoing.writeHead(200, { [names.HEADER.instance]: this.idAt.get(`${localAddress}:${localPort}`) ?? "", "Content-Length": 0 }).end();
  }

  private report(outgoing: nodeHttp.ServerResponse): void {
    this.reports += 1;
    const body = JSON.stringify({
      phase: "combined",
      models: [],
      utilization: false,
      sequence: 0,
      waiting_requests: Math.floor(this.clock.random() * 3),
      active: Math.floor(this.clock.random() * CAPACITY),
      kv_used: this.reports % KV_TOKENS,
      kv_capacity: KV_TOKENS,
      supported_models: 0,
    });
    outgoing.writeHead(200, { "Content-Type": "application/json", "Content-Length": body.length }).end(body);
  }

  /** Closes all listeners and connections. */
  stop(): void {
    this.timer?.stop();
    this.platform.stop();
    for (const server of this.listeners) server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}
