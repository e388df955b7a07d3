// Many routers before many runners on a planned clock: the very fleets, policies and attempts, with runners
// played by a function, and signs between the routers.
import * as runnerAttempt from "../../src/router/runner-attempt.js";
import type * as runnerEndpoint from "../../src/runners/runner-endpoint.js";
import * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";
import * as system from "../../src/whatif/system.js";
import * as plannedClock from "../../src/whatif/planned-clock.js";
import * as configurationCheck from "../../src/config/configuration-check.js";
import * as routeTable from "../../src/config/route-table.js";

export type Answer = "fine" | "error" | "cut" | "refused" | "unreached" | "hang" | "shed" | "slow";
export type Play = (runner: runnerEndpoint.RunnerEndpoint, router: number, now: number, chance: number) => Answer;

export interface Shape {
  seed: number;
  routers: number;
  regions: number;
  runnersEach: number;
  perS: number;
  play: Play;
  /** What the report of a runner says; a report is read every 600 ms. */
  isSpeaking?: (id: string, now: number) => boolean;
}

const PIECES = 8;
const USUAL_MS = 60;
const GAP_MS = 30;
const TABLE = tableOf();

function tableOf(): routeTable.RouteTable {
  const config = configurationCheck.check({
    revision: 1,
    services: [{ name: "model", max_connections: 1_000_000 }],
    routes: ["read_only", "mutating", "streaming"].map((type) => ({
      name: type,
      hostname: "h",
      path_prefix: `/${type}/`,
      route_type: type,
      deadline_ms: 20_000,
      service: "model",
      max_attempts: 2,
      resumable: type === "streaming",
    })),
  });
  if (config.isErr) throw config.error;
  return new routeTable.RouteTable(config.value);
}

export interface Met {
  at: number;
  runner: string;
  answer: Answer;
  isRepeatable: boolean;
}

export class RunnersSim {
  readonly clock: plannedClock.PlannedClock;
  readonly routers: system.ModelRouter[] = [];
  readonly met: Met[] = [];
  /** State changes of any runner as a router sees it: at, router, runner, to. */
  readonly changes: [number, number, string, string][] = [];
  private readonly last = new Map<string, string>();
  private requests = 0;

  constructor(private readonly shape: Shape) {
    this.clock = new plannedClock.PlannedClock(shape.seed);
    const regions = Array.from({ length: shape.regions }, (_item, index) => `r${index}`);
    const list: schema.Instance[] = regions.flatMap((zone) =>
      Array.from({ length: shape.runnersEach }, (_item, index) => ({
        id: types.small<types.RunnerId>(`${zone}-${index}`),
        service: "model",
        address: "127.0.0.1:9",
        zone,
        capacity: 64,
        isDraining: false,
        coldMs: 0,
        leavesMs: -1,
      })),
    );
    for (let index = 0; index < shape.routers; index += 1) {
      const router = new system.ModelRouter(regions[index % regions.length], this.clock, regions, TABLE);
      router.fleet.applySnapshot(list);
      router.limits.setRouterCount(shape.routers);
      router.fleet.peerGroups.routers = shape.routers;
      this.routers.push(router);
      this.clock.schedule(100 * this.clock.random(), () => this.tell(index));
    }
    this.clock.schedule(1, () => this.arrive());
    this.clock.schedule(1, () => this.report());
  }

  play(untilS: number): void {
    this.clock.play(untilS * 1000);
  }

  /** The part of the requests of a span that met a bad runner. */
  badShare(fromS: number, untilS: number): number {
    const met = this.met.filter((item) => item.at >= fromS * 1000 && item.at < untilS * 1000);
    return met.filter((item) => item.answer !== "fine").length / met.length;
  }

  sentShare(fromS: number, untilS: number, isOf: (runner: string) => boolean): number {
    const met = this.met.filter((item) => item.at >= fromS * 1000 && item.at < untilS * 1000);
    return met.filter((item) => isOf(item.runner)).length / met.length;
  }

  states(isOf: (runner: string) => boolean): string[] {
    const now = this.clock.now();
    return this.routers.flatMap((router) =>
      [...router.fleet.all()].filter((runner) => isOf(runner.id)).map((runner) => runner.outliers.update(now)),
    );
  }

  private tell(from: number): void {
    this.clock.schedule(100, () => this.tell(from));
    const router = this.routers[from];
    const ids = router.fleet.takeNewSuspects();
    for (const runner of router.fleet.all()) this.note(from, runner);
    if (ids.length === 0) return;
    this.clock.schedule(5 + 40 * this.clock.random(), () => {
      for (const other of this.routers) if (other !== router) other.fleet.recordRemoteSuspects(ids);
    });
  }

  private note(router: number, runner: runnerEndpoint.RunnerEndpoint): void {
    const state = runner.outliers.update(this.clock.now());
    const key = `${router}|${runner.id}`;
    if ((this.last.get(key) ?? "good") === state) return;
    this.last.set(key, state);
    this.changes.push([this.clock.now(), router, runner.id, state]);
  }

  private report(): void {
    this.clock.schedule(600, () => this.report());
    const { isSpeaking } = this.shape;
    const now = this.clock.now();
    for (const router of this.routers) {
      const reports = [...router.fleet.all()].map((runner) => ({
        id: runner.id,
        isSpeaking: isSpeaking?.(runner.id, now) ?? true,
        waiting: 0,
        active: 0,
        kvUsed: 0,
        kvCapacity: 1,
      }));
      router.fleet.applyReport({ region: "", reports });
    }
  }

  private arrive(): void {
    this.clock.schedule((-Math.log(1 - this.clock.random()) * 1000) / this.shape.perS, () => this.arrive());
    this.requests += 1;
    const router = Math.floor(this.clock.random() * this.routers.length);
    const type = ["read_only", "mutating", "streaming"][Math.floor(this.clock.random() * 3)];
    this.send(router, type, `q${this.requests}`, new Set());
  }

  private send(from: number, type: string, id: string, tried: Set<string>): void {
    const router = this.routers[from];
    const entry = TABLE.find("h", `/${type}/`)!;
    const request = system.buildRequest(
      entry,
      id,
      [
        { id: `k${this.requests % 400}`, tokens: 200 },
        { id, tokens: this.requests % 2 === 0 ? 50 : 2500 },
      ],
      this.clock.now() + 20_000,
    );
    router.picker.countRequest(request);
    const choice = router.picker.pick(request, tried, 0);
    if ("status" in choice) return;
    const { runner } = choice;
    const answer = this.shape.play(runner, from, this.clock.now(), this.clock.random());
    this.met.push({ at: this.clock.now(), runner: runner.id, answer, isRepeatable: entry.isRepeatable });
    choice.connection.client.dispatch = (_options, handlers) => this.dispatch(answer, id, handlers as unknown as runnerAttempt.Attempt);
    const isStream = type === "streaming";
    const attempt = new runnerAttempt.Attempt(
      this.clock,
      runner,
      choice.connection,
      {
        onHead: (_attempt, head) => head.status < 500 || !entry.isRepeatable,
        onChunk: () => true,
        onEnd: (_attempt, ending) => {
          tried.add(runner.id);
          if ((ending === "not_sent" || ending === "not_executed" || (ending === "interrupted" && entry.isRepeatable)) && tried.size < 3)
            this.send(from, type, id, tried);
        },
      },
      { method: "POST", path: "/", headers: [], body: null, requestId: types.small(id), isStream, observer: choice.observer },
    );
    attempt.start(request.parts[1].tokens);
    this.clock.schedule(answer === "hang" ? 2000 : 20_000, () => attempt.cancel());
  }

  private dispatch(answer: Answer, id: string, handlers: runnerAttempt.Attempt): boolean {
    const { clock: world } = this;
    if (answer === "refused") world.schedule(1, () => handlers.onError());
    if (answer === "refused" || answer === "unreached") return true;
    handlers.onConnect(() => undefined);
    if (answer === "hang") return true;
    const usual = USUAL_MS * (0.7 + 0.6 * world.random());
    const status = answer === "error" ? 500 : answer === "shed" ? 503 : 200;
    const raw = [Buffer.from("X-Cranewind-Request-Id"), Buffer.from(id)];
    if (answer === "shed") raw.push(Buffer.from("X-Cranewind-Not-Executed"), Buffer.from("1"));
    if (status !== 200) {
      world.schedule(3, () => (handlers.onHeaders(status, raw, () => undefined), handlers.onComplete()));
      return true;
    }
    const times = answer === "slow" ? 8 : 1;
    world.schedule(usual * times, () => handlers.onHeaders(200, raw, () => undefined));
    for (let piece = 0; piece < PIECES; piece += 1)
      world.schedule((usual + piece * GAP_MS) * times, () => handlers.onData(Buffer.from("x")));
    const endMs = (usual + PIECES * GAP_MS) * times;
    world.schedule(endMs, () => (answer === "cut" ? handlers.onError() : handlers.onComplete()));
    return true;
  }
}
