/** Plays a what-if day and counts it by phase: before, during and after the faults (design 11.2). */
import type * as promptParts from "../routing/prompt-parts.js";
import type * as runnerEndpoint from "../runners/runner-endpoint.js";
import * as owner from "./owner.js";
import * as models from "./runner.js";
import type * as scenarios from "./scenario.js";
import * as system from "./system.js";
import * as worlds from "./world.js";

/** Where a request lies to the faults of the day. */
export type Phase = "before" | "during" | "after";

/** One request; `firstMs` is null where it was denied, tokens are those of the earlier turns. */
export interface RequestRecord {
  phase: Phase;
  kind: string;
  isFirstTurn: boolean;
  firstMs: number | null;
  tokens: number;
  unread: number;
  isMoved: boolean;
}

/** One turn of a session, through all its sends. */
interface Turn {
  readonly kind: scenarios.Kind;
  readonly session: string;
  readonly router: system.ModelRouter;
  /** Common part, session's part, and the turn's own. */
  readonly parts: promptParts.PromptPart[];
  readonly startedAt: number;
  /** Ids of the runners that were lost or full. */
  readonly tried: Set<string>;
}

const DEADLINE_MS = 60_000;
const SAME_REGION_TRIP_MS = 0.5;
const DEAL_MS = 100;
/** How long routers go on sending to lost runners. */
const LOSS_DETECTED_MS = 600;

/** One day; to be played once. The same scenario and seed give the same records. */
export class Day {
  readonly records: RequestRecord[] = [];
  private readonly world: worlds.PlannedWorld;
  private readonly runners = new Map<string, models.ModelRunner>();
  private readonly routers: system.ModelRouter[] = [];
  private readonly owner: owner.SoleOwner;
  private readonly lastRunner = new Map<string, string>();
  private readonly coldMs = new Map<string, number>();
  private readonly evacuated = new Set<string>();
  private requests = 0;
  private runnersStarted = 0;

  constructor(private readonly scenario: scenarios.Scenario) {
    this.world = new worlds.PlannedWorld(scenario.seed);
    this.owner = new owner.SoleOwner(this.world, system.BOUNDS);
    const table = system.tableOf(scenario);
    const regions = scenario.regions.map(nameOf);
    for (const region of scenario.regions) {
      for (let count = 0; count < region.runners; count += 1) this.addRunner(region.name);
      for (let count = 0; count < region.routers; count += 1)
        this.routers.push(new system.ModelRouter(region.name, this.world, regions, table));
    }
  }

  private addRunner(region: string): models.ModelRunner {
    this.runnersStarted += 1;
    const runner = new models.ModelRunner(`${region}-${this.runnersStarted}`, region, this.scenario.runner);
    this.runners.set(runner.id, runner);
    return runner;
  }

  /** Plays the day and returns its records. */
  play(): RequestRecord[] {
    this.pushList();
    this.deal();
    for (const fault of this.scenario.faults) this.world.schedule(fault.at_s * 1000, () => this.injectFault(fault));
    for (const kind of this.scenario.kinds) this.world.schedule(this.gap(kind), () => this.arrive(kind));
    this.world.play(this.scenario.length_s * 1000);
    return this.records;
  }

  private pushList(): void {
    const list = system.instancesOf(this.runners.values(), this.scenario.runner.capacity, this.coldMs);
    for (const router of this.routers) router.fleet.applySnapshot(list);
    this.coldMs.clear();
  }

  private deal(): void {
    for (const [index, router] of this.routers.entries()) {
      router.share.setRouterCount(this.routers.length);
      this.owner.serve(`router-${index}`, router.share);
    }
    this.world.schedule(DEAL_MS, () => this.deal());
  }

  private injectFault(fault: scenarios.Fault): void {
    const end = fault.for_s * 1000;
    if (fault.kind === "drain") {
      this.evacuated.add(fault.region);
      this.pushRotation();
      this.world.schedule(end, this.takeBack.bind(this, fault.region));
      return;
    }
    for (const runner of [...this.runners.values()]) {
      if (runner.region !== fault.region || !runner.isUp) continue;
      runner.lose();
      this.world.schedule(end, () => this.replaceRunner(runner));
      if (fault.kind === "lose_runner") break;
    }
    // Routers hear of it when the report stays out; until then sends there fail and go on.
    this.world.schedule(LOSS_DETECTED_MS, () => this.pushList());
  }

  private takeBack(region: string): void {
    this.evacuated.delete(region);
    this.pushRotation();
  }

  private pushRotation(): void {
    for (const router of this.routers) router.rotation.applyEvacuations([...this.evacuated], false);
  }

  private replaceRunner(gone: models.ModelRunner): void {
    this.runners.delete(gone.id);
    const runner = this.addRunner(gone.region);
    this.coldMs.set(runner.id, this.scenario.runner.warmup_s * 1000);
    this.pushList();
  }

  private gap(kind: scenarios.Kind): number {
    return (-Math.log(1 - this.world.random()) * 1000) / kind.turns_per_s;
  }

  private arrive(kind: scenarios.Kind): void {
    this.world.schedule(this.gap(kind), () => this.arrive(kind));
    const session = `${kind.name}-${Math.floor(this.world.random() * kind.sessions)}`;
    const router = this.routers[Math.floor(this.world.random() * this.routers.length)];
    this.requests += 1;
    const parts: promptParts.PromptPart[] = [
      { id: `c-${kind.name}`, tokens: kind.common_tokens },
      { id: `s-${session}`, tokens: kind.session_tokens },
      { id: `t-${this.requests}`, tokens: kind.turn_tokens },
    ];
    this.send({ kind, session, router, parts, startedAt: this.world.now(), tried: new Set() });
  }

  private send(turn: Turn): void {
    const { kind, router, tried } = turn;
    const entry = router.chooser.routeTable!.find("whatif", `/${kind.name}/`)!;
    const request = system.requestOf(entry, `r-${this.requests}`, turn.parts, turn.startedAt + DEADLINE_MS);
    router.chooser.countRequest(request);
    const choice = router.chooser.pick(request, tried, tried.size);
    if ("status" in choice) {
      this.count(turn, null, 0, "");
      return;
    }
    choice.runner.connections.release(choice.connection, true);
    const model = this.runners.get(choice.runner.id)!;
    if (!model.isUp || model.isFull()) {
      tried.add(model.id);
      choice.runner.recordSilence(this.world.now());
      this.world.schedule(2 * this.tripMs(router, model), () => this.send(turn));
      return;
    }
    system.publishReading(this.world, this.routers, router, model.id, request);
    this.run(turn, choice.runner, model);
  }

  private tripMs(router: system.ModelRouter, model: models.ModelRunner): number {
    return router.region === model.region ? SAME_REGION_TRIP_MS : this.scenario.trip_ms;
  }

  private run(turn: Turn, runner: runnerEndpoint.RunnerEndpoint, model: models.ModelRunner): void {
    const now = this.world.now();
    const tripMs = this.tripMs(turn.router, model);
    const { firstMs, endMs, unread } = model.run(turn.parts, turn.kind.events, now);
    model.active += 1;
    runner.inflight += 1;
    runner.recordReceived(now);
    this.count(turn, now - turn.startedAt + 2 * tripMs + firstMs, unread, model.id);
    function ended(): void {
      model.active -= 1;
      runner.inflight -= 1;
    }
    this.world.schedule(endMs, ended);
  }

  private phase(): Phase {
    const at = this.world.now() / 1000;
    let phase: Phase = "before";
    for (const fault of this.scenario.faults) {
      if (at >= fault.at_s && at < fault.at_s + fault.for_s) return "during";
      if (at >= fault.at_s + fault.for_s) phase = "after";
    }
    return phase;
  }

  /** Records the turn's outcome; `firstMs` is null and the runner empty where it was denied. */
  private count({ kind, session, parts }: Turn, firstMs: number | null, unread: number, runner: string): void {
    const last = this.lastRunner.get(session);
    if (runner !== "") this.lastRunner.set(session, runner);
    this.records.push({
      phase: this.phase(),
      kind: kind.name,
      isFirstTurn: last === undefined,
      firstMs,
      tokens: parts[0].tokens + parts[1].tokens,
      unread: Math.max(0, unread - parts[2].tokens),
      isMoved: last !== undefined && runner !== "" && last !== runner,
    });
  }
}

function nameOf(item: { name: string }): string {
  return item.name;
}
