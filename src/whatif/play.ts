/** Plays a what-if day and counts it by phase: before, during and after the faults (design 11.2). */
import type * as promptParts from "../routing/prompt-parts.js";
import type * as runnerEndpoint from "../runners/runner-endpoint.js";
import * as simulatedLeaseOwner from "./simulated-lease-owner.js";
import * as models from "./runner.js";
import type * as scenarios from "./scenario.js";
import * as system from "./system.js";
import * as plannedClock from "./planned-clock.js";

/** When a request arrived, relative to the faults of the day. */
export type Phase = "before" | "during" | "after";

/** One request; `firstMs` is null where it was denied, tokens are those of the earlier turns. */
export interface RequestRecord {
  phase: Phase;
  kind: string;
  isFirstTurn: boolean;
  timeToFirstEventMs: number | null;
  tokens: number;
  uncachedTokens: number;
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
  readonly attemptedRunners: Set<string>;
}

const DEADLINE_MS = 60_000;
const SAME_REGION_TRIP_MS = 0.5;
const LIMIT_ASSIGNMENT_INTERVAL_MS = 100;
/** How long routers keep sending to lost runners. */
const LOSS_DETECTION_MS = 600;

/** One day; to be played once. The same scenario and seed give the same records. */
export class Day {
  readonly records: RequestRecord[] = [];
  private readonly clock: plannedClock.PlannedClock;
  private readonly runners = new Map<string, models.ModelRunner>();
  private readonly routers: system.ModelRouter[] = [];
  private readonly owner: simulatedLeaseOwner.SimulatedLeaseOwner;
  private readonly lastRunnerOfSession = new Map<string, string>();
  private readonly warmupMsByRunner = new Map<string, number>();
  private readonly evacuated = new Set<string>();
  private requests = 0;
  private runnersStarted = 0;

  constructor(private readonly scenario: scenarios.Scenario) {
    this.clock = new plannedClock.PlannedClock(scenario.seed);
    this.owner = new simulatedLeaseOwner.SimulatedLeaseOwner(this.clock, system.BOUNDS);
    const table = system.buildRouteTable(scenario);
    const regions = scenario.regions.map(nameOf);
    for (const region of scenario.regions) {
      for (let recordOutcome = 0; recordOutcome < region.runners; recordOutcome += 1) this.addRunner(region.name);
      for (let count = 0; count < region.routers; count += 1)
        this.routers.push(new system.ModelRouter(region.name, this.clock, regions, table));
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
    this.publishRunners();
    this.assignLimitShares();
    for (const fault of this.scenario.faults) this.clock.schedule(fault.at_s * 1000, () => this.injectFault(fault));
    for (const kind of this.scenario.kinds) this.clock.schedule(this.nextInterarrivalMs(kind), () => this.generateArrival(kind));
    this.clock.play(this.scenario.length_s * 1000);
    return this.records;
  }

  private publishRunners(): void {
    const list = system.buildInstances(this.runners.values(), this.scenario.runner.capacity, this.warmupMsByRunner);
    for (const router of this.routers) router.fleet.applySnapshot(list);
    this.warmupMsByRunner.clear();
  }

  private assignLimitShares(): void {
    for (const [index, router] of this.routers.entries()) {
      router.limits.setRouterCount(this.routers.length);
      this.owner.renewLeases(`router-${index}`, router.limits);
    }
    this.clock.schedule(LIMIT_ASSIGNMENT_INTERVAL_MS, () => this.assignLimitShares());
  }

  private injectFault(fault: scenarios.Fault): void {
    const end = fault.for_s * 1000;
    if (fault.kind === "drain") {
      this.evacuated.add(fault.region);
      this.publishEvacuations();
      this.clock.schedule(end, () => this.endEvacuation(fault.region));
      return;
    }
    for (const runner of [...this.runners.values()]) {
      if (runner.region !== fault.region || !runner.isUp) continue;
      runner.fail();
      this.clock.schedule(end, () => this.replaceRunner(runner));
      if (fault.kind === "lose_runner") break;
    }
    // Routers detect the loss by the missing report; until then their requests to these runners fail and are retried.
    this.clock.schedule(LOSS_DETECTION_MS, () => this.publishRunners());
  }

  private endEvacuation(region: string): void {
    this.evacuated.delete(region);
    this.publishEvacuations();
  }

  private publishEvacuations(): void {
    for (const router of this.routers) router.rotation.applyEvacuations([...this.evacuated], false);
  }

  private replaceRunner(lost: models.ModelRunner): void {
    this.runners.delete(lost.id);
    const runner = this.addRunner(lost.region);
    this.warmupMsByRunner.set(runner.id, this.scenario.runner.warmup_s * 1000);
    this.publishRunners();
  }

  private nextInterarrivalMs(kind: scenarios.Kind): number {
    return (-Math.log(1 - this.clock.random()) * 1000) / kind.turns_per_s;
  }

  private generateArrival(kind: scenarios.Kind): void {
    this.clock.schedule(this.nextInterarrivalMs(kind), () => this.generateArrival(kind));
    const session = `${kind.name}-${Math.floor(this.clock.random() * kind.sessions)}`;
    const router = this.routers[Math.floor(this.clock.random() * this.routers.length)];
    this.requests += 1;
    const parts: promptParts.PromptPart[] = [
      { id: `c-${kind.name}`, tokens: kind.common_tokens },
      { id: `s-${session}`, tokens: kind.session_tokens },
      { id: `t-${this.requests}`, tokens: kind.turn_tokens },
    ];
    this.send({ kind, session, router, parts, startedAt: this.clock.now(), attemptedRunners: new Set() });
  }

  private send(turn: Turn): void {
    const { kind, router, attemptedRunners: tried } = turn;
    const entry = router.picker.routeTable!.find("whatif", `/${kind.name}/`)!;
    const request = system.buildRequest(entry, `r-${this.requests}`, turn.parts, turn.startedAt + DEADLINE_MS);
    router.picker.countRequest(request);
    const choice = router.picker.pick(request, tried, tried.size);
    if ("status" in choice) {
      this.count(turn, null, 0, "");
      return;
    }
    choice.runner.connections.release(choice.connection, true);
    const model = this.runners.get(choice.runner.id)!;
    if (!model.isUp || model.isFull()) {
      tried.add(model.id);
      choice.runner.recordSilence(this.clock.now());
      this.clock.schedule(2 * this.tripMs(router, model), () => this.send(turn));
      return;
    }
    system.publishPrefill(this.clock, this.routers, router, model.id, request);
    this.run(turn, choice.runner, model);
  }

  private tripMs(router: system.ModelRouter, model: models.ModelRunner): number {
    return router.region === model.region ? SAME_REGION_TRIP_MS : this.scenario.trip_ms;
  }

  private run(turn: Turn, runner: runnerEndpoint.RunnerEndpoint, model: models.ModelRunner): void {
    const now = this.clock.now();
    const tripMs = this.tripMs(turn.router, model);
    const { firstMs, endMs, unread } = model.run(turn.parts, turn.kind.events, now);
    model.active += 1;
    runner.inflight += 1;
    runner.recordReceived(now);
    this.count(turn, now - turn.startedAt + 2 * tripMs + firstMs, unread, model.id);
    this.clock.schedule(endMs, () => {
      model.active -= 1;
      runner.inflight -= 1;
    });
  }

  private currentPhase(): Phase {
    const at = this.clock.now() / 1000;
    let phase: Phase = "before";
    for (const fault of this.scenario.faults) {
      if (at >= fault.at_s && at < fault.at_s + fault.for_s) return "during";
      if (at >= fault.at_s + fault.for_s) phase = "after";
    }
    return phase;
  }

  /** Records the turn's outcome; `firstMs` is null and the runner empty where it was denied. */
  private count({ kind, session, parts }: Turn, firstMs: number | null, unread: number, runner: string): void {
    const last = this.lastRunnerOfSession.get(session);
    if (runner !== "") this.lastRunnerOfSession.set(session, runner);
    this.records.push({
      phase: this.currentPhase(),
      kind: kind.name,
      isFirstTurn: last === undefined,
      timeToFirstEventMs: firstMs,
      tokens: parts[0].tokens + parts[1].tokens,
      uncachedTokens: Math.max(0, unread - parts[2].tokens),
      isMoved: last !== undefined && runner !== "" && last !== runner,
    });
  }
}

function nameOf(item: { name: string }): string {
  return item.name;
}
