// A router with stand-in runners on loopback, for tests that speak to it in raw bytes.
import type * as nodeHttp from "node:http";
import * as configurationCheck from "../../src/config/configuration-check.js";
import * as routeTable from "../../src/config/route-table.js";
import * as runnerPicker from "../../src/router/runner-picker.js";
import * as runnerFleet from "../../src/runners/runner-fleet.js";
import * as prefillTracker from "../../src/runners/prefill-tracker.js";
import * as zoneRotation from "../../src/runners/zone-rotation.js";
import * as routerBatches from "../../src/router/router-batches.js";
import * as routerServer from "../../src/router/client/router-server.js";
import * as tenantGate from "../../src/router/tenant-gate.js";
import * as leasedLimits from "../../src/limits/leased-limits.js";
import * as runnerEmulator from "../../src/emulator/runner-emulator.js";
import * as types from "../../src/wire/types.js";
import * as memoryNet from "./memory-net.js";
import * as rawBytes from "./raw-bytes.js";

/** A route under /NAME/ of the host h; `more` replaces or adds fields. */
export function routeOf(name: string, type: string, more: object = {}): object {
  return {
    name,
    hostname: "h",
    path_prefix: `/${name}/`,
    route_type: type,
    deadline_ms: 1500,
    target_latency_ms: 300,
    target_gap_ms: 200,
    service: "s",
    max_attempts: 2,
    ...more,
  };
}

const CONFIG = configurationCheck
  .check({
    revision: 1,
    services: [{ name: "s", max_connections: 100 }],
    limits: { max_body_bytes: 2000, max_header_bytes: 4096, header_timeout_ms: 5000 },
    routes: [
      routeOf("once", "mutating"),
      routeOf("read", "read_only"),
      routeOf("open", "read_only", { public: true }),
      routeOf("long", "streaming", { resumable: true, deadline_ms: 15_000 }),
    ],
  })
  .unwrapOr(null)!;

/** What an edge asks of the runners behind it. */
export interface EdgeRunner {
  readonly id: string;
  readonly address: string;
  readonly receivedRequests: runnerEmulator.ReceivedRequest[];
  start(): Promise<void>;
  stop(): void;
}

export class Edge<Runner extends EdgeRunner = runnerEmulator.RunnerEmulator> {
  readonly fleet: runnerFleet.RunnerFleet;
  readonly server: routerServer.RouterServer;
  isReady = true;
  private isInMemory = false;

  private constructor(
    readonly clock: types.Clock,
    readonly runners: Runner[],
    gate = new tenantGate.TenantGate(clock, "r", new Map(), { revocation_strict: false, revoke_delay_ms: 5000 }),
  ) {
    this.fleet = new runnerFleet.RunnerFleet(clock, new Map([["z", "r"]]));
    const share = new leasedLimits.LeasedLimits(clock, {
      retry_ratio: 0.2,
      retry_window_s: 10,
      retry_extra: 50,
      warmup_overshoot: 1.5,
      warmup_tolerance: 5,
    });
    share.setRouterCount(1);
    share.grant({ life: "o", isGranting: true, grants: [{ id: 1, kind: 0, key: "s", amount: 25, lifeMs: 60_000 }] }, clock.now());
    const picker = new runnerPicker.RunnerPicker(
      clock,
      this.fleet,
      new zoneRotation.ZoneRotation(clock),
      share,
      "r",
      new prefillTracker.PrefillTracker(),
    );
    this.fleet.applySnapshot(
      runners.map((runner) => ({
        id: types.small(runner.id),
        service: "s",
        address: runner.address,
        zone: "z",
        capacity: 8,
        isDraining: false,
        coldMs: 0,
        leavesMs: -1,
      })),
    );
    picker.routeTable = new routeTable.RouteTable(CONFIG);
    this.server = new routerServer.RouterServer({
      clock,
      picker,
      isReady: () => this.isReady,
      recordSend: () => 0,
      recordBegun: () => {},
      machine: { memory_mb: 256, max_open_files: 1024 },
      batches: new routerBatches.RouterBatches("life", picker.prefills, picker.admission),
      tenantGate: gate,
    });
    this.server.applyLimits(CONFIG.limits);
  }

  static start(clock: types.Clock, options: Partial<runnerEmulator.RunnerOptions>[], gate?: tenantGate.TenantGate): Promise<Edge> {
    return Edge.over(
      clock,
      options.map((item) => new runnerEmulator.RunnerEmulator(item)),
      gate,
    );
  }

  static async over<Runner extends EdgeRunner>(clock: types.Clock, runners: Runner[], gate?: tenantGate.TenantGate): Promise<Edge<Runner>> {
    for (const runner of runners) await runner.start();
    const edge = new Edge(clock, runners, gate);
    await edge.server.listen("127.0.0.1:0");
    return edge;
  }

  /** As `over`, with no sockets: the runners are in memory too, and so is the library's connector. */
  static async inMemory<Runner extends EdgeRunner>(clock: types.Clock, runners: Runner[]): Promise<Edge<Runner>> {
    for (const runner of runners) await runner.start();
    const edge = new Edge(clock, runners);
    edge.isInMemory = true;
    return edge;
  }

  stop(): void {
    if (!this.isInMemory) this.server.close();
    this.fleet.closeIdle();
    for (const runner of this.runners) runner.stop();
  }

  /** All that reached any runner. */
  seen(): runnerEmulator.ReceivedRequest[] {
    return this.runners.flatMap((runner) => runner.receivedRequests);
  }

  /** Sends bytes as they are; what came back until the connection ended, or one whole reply of the router's own. */
  send(text: string): Promise<string> {
    if (!this.isInMemory) return rawBytes.sendRaw(this.server.port, text);
    const [client, server] = memoryNet.MemorySocket.pair();
    // A server takes any stream as a connection that is handed to it so.
    (this.server as unknown as { server: nodeHttp.Server }).server.emit("connection", server);
    return rawBytes.talk(client, text);
  }
}
