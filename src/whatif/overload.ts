/**
 * Plays a day that asks for more than the fleet can take, through the router's own policies and its admission
 * (design/admission 7): clients with deadlines that return as told, surges, slowed runners and routers.
 */
import type * as promptParts from "../routing/prompt-parts.js";
import * as batch from "./batch.js";
import * as client from "./client.js";
import * as simulatedLeaseOwner from "./simulated-lease-owner.js";
import type * as scenarios from "./scenario.js";
import * as system from "./system.js";
import * as plannedClock from "./planned-clock.js";

const REPORT_INTERVAL_MS = 600;
const LIMIT_ASSIGNMENT_INTERVAL_MS = 500;
const LAG_SAMPLE_INTERVAL_MS = 100;
const MAX_RELATIVE_SIZE = 3;

/** One day; to be played once. The same scenario and seed give the same records. */
export class OverloadDay implements client.OverloadedFleet {
  /** One record a request, in the order of arrival. */
  readonly records: client.RequestRecord[] = [];
  readonly clock: plannedClock.PlannedClock;
  readonly runners = new Map<string, batch.BatchRunner>();
  readonly routers: system.ModelRouter[] = [];
  private readonly eventLoopDelays = new Map<system.ModelRouter, number>();
  private readonly owner: simulatedLeaseOwner.SimulatedLeaseOwner;
  private runnersStarted = 0;
  /** A random sequence of its own: arrivals are the same whatever the routers do. */
  private readonly arrivalRandom: plannedClock.PlannedClock;

  constructor(
    private readonly scenario: scenarios.Scenario,
    isOn: boolean,
  ) {
    this.clock = new plannedClock.PlannedClock(scenario.seed);
    this.owner = new simulatedLeaseOwner.SimulatedLeaseOwner(this.clock, system.BOUNDS);
    this.arrivalRandom = new plannedClock.PlannedClock(scenario.seed + 1);
    const table = system.buildRouteTable(scenario);
    const regions = scenario.regions.map(nameOf);
    for (const region of scenario.regions) {
      for (let count = 0; count < region.runners; count += 1) {
        this.runnersStarted += 1;
        const runner = new batch.BatchRunner(`${region.name}-${this.runnersStarted}`, region.name, scenario.runner, this.clock);
        this.runners.set(runner.id, runner);
      }
      for (let count = 0; count < region.routers; count += 1)
        this.addRouter(new system.ModelRouter(region.name, this.clock, regions, table), isOn);
    }
  }

  private addRouter(router: system.ModelRouter, isOn: boolean): void {
    router.picker.admission.isOn = isOn;
    this.routers.push(router);
  }

  /** Plays the day to the end of its last request. */
  play(): client.RequestRecord[] {
    const list = system.buildInstances([...this.runners.values()].map(runnerState), this.scenario.runner.capacity, new Map());
    for (const router of this.routers) router.fleet.applySnapshot(list);
    this.assignLimitShares();
    this.publishReports();
    this.recordLags();
    for (const fault of this.scenario.faults) this.clock.schedule(fault.at_s * 1000, () => this.injectFault(fault));
    for (const kind of this.scenario.kinds) this.clock.schedule(this.nextInterarrivalMs(kind), () => this.generateArrival(kind));
    this.clock.play(this.scenario.length_s * 1000);
    // Requests in flight are played to their end; no new ones arrive.
    this.clock.play(this.scenario.length_s * 2000 + 60_000);
    return this.records;
  }

  private isArrivalPeriodOver(): boolean {
    return this.clock.now() >= this.scenario.length_s * 1000;
  }

  private assignLimitShares(): void {
    for (const [index, router] of this.routers.entries()) {
      router.limits.setRouterCount(this.routers.length);
      this.owner.renewLeases(`router-${index}`, router.limits);
    }
    this.clock.schedule(LIMIT_ASSIGNMENT_INTERVAL_MS, () => this.assignLimitShares());
  }

  private publishReports(): void {
    for (const region of this.scenario.regions) {
      function isHere(runner: batch.BatchRunner): boolean {
        return runner.region === region.name;
      }
      const reports = [...this.runners.values()].filter(isHere).map(reportOf);
      for (const router of this.routers) {
        router.fleet.applyReport({ region: region.name, reports });
        router.picker.admission.applyReport({ region: region.name, reports });
      }
    }
    this.clock.schedule(REPORT_INTERVAL_MS, () => this.publishReports());
  }

  private recordLags(): void {
    for (const [router, ms] of this.eventLoopDelays) router.picker.admission.recordLag(ms);
    this.clock.schedule(LAG_SAMPLE_INTERVAL_MS, () => this.recordLags());
  }

  private injectFault(fault: scenarios.Fault): void {
    const end = fault.for_s * 1000;
    const { eventLoopDelays: lags } = this;
    function isThere(item: { region: string }): boolean {
      return item.region === fault.region;
    }
    if (fault.kind === "slow_router") {
      const router = this.routers.find(isThere);
      if (!router) return;
      lags.set(router, fault.factor * LAG_SAMPLE_INTERVAL_MS);
      this.clock.schedule(end, () => lags.delete(router));
    }
    if (fault.kind !== "slow_runner") return;
    const runner = [...this.runners.values()].find(isThere);
    if (!runner) return;
    runner.slowdownFactor = fault.factor;
    this.clock.schedule(end, () => {
      runner.slowdownFactor = 1;
    });
  }

  private surgeFactor(kind: scenarios.Kind): number {
    const at = this.clock.now() / 1000;
    let factor = 1;
    for (const surge of this.scenario.surges) {
      if (surge.kind === kind.name && at >= surge.at_s && at < surge.at_s + surge.for_s) factor *= surge.factor;
    }
    return factor;
  }

  private nextInterarrivalMs(kind: scenarios.Kind): number {
    return (-Math.log(1 - this.arrivalRandom.random()) * 1000) / (kind.turns_per_s * this.surgeFactor(kind));
  }

  private generateArrival(kind: scenarios.Kind): void {
    if (this.isArrivalPeriodOver()) return;
    this.clock.schedule(this.nextInterarrivalMs(kind), () => this.generateArrival(kind));
    const session = `${kind.name}-${Math.floor(this.arrivalRandom.random() * kind.sessions)}`;
    const size = Math.min(MAX_RELATIVE_SIZE, 0.5 - 0.5 * Math.log(1 - this.arrivalRandom.random()));
    const parts: promptParts.PromptPart[] = [
      { id: `c-${kind.name}`, tokens: kind.common_tokens },
      { id: `s-${session}`, tokens: kind.session_tokens },
      { id: `t-${this.records.length}`, tokens: Math.max(1, Math.round(kind.turn_tokens * size)) },
    ];
    const events = Math.max(1, Math.round(kind.events * size));
    const record: client.RequestRecord = {
      kind: kind.name,
      arrivedAt: this.clock.now(),
      relativeSize: size,
      outcome: "open",
      attempts: 0,
      refusalLatenciesMs: [],
      retryAfterS: [],
      freeCapacity: [],
      admissions: 0,
      value: 0,
      session,
    };
    this.records.push(record);
    new client.ClientRequest(this, this.scenario, kind, parts, events, record).startAttempt();
  }

  pickRouter(): system.ModelRouter {
    return this.routers[Math.floor(this.clock.random() * this.routers.length)];
  }

  eventLoopDelayMs(router: system.ModelRouter): number {
    return this.eventLoopDelays.get(router) ?? 0;
  }

  freeCapacity(): number {
    let free = 0;
    for (const runner of this.runners.values()) free += runner.freeSlots();
    return free / (this.runners.size * this.scenario.runner.capacity);
  }
}

function runnerState(runner: batch.BatchRunner): system.RunnerState {
  return { id: runner.id, region: runner.region, isUp: true };
}

function reportOf(runner: batch.BatchRunner): ReturnType<batch.BatchRunner["report"]> {
  return runner.report();
}

function nameOf(item: { name: string }): string {
  return item.name;
}
