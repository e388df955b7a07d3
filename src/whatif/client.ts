/** A client of an overload day: a deadline, retries as told by Retry-After, one router an attempt (design/admission 7). */
import type * as runnerEndpoint from "../runners/runner-endpoint.js";
import type * as promptParts from "../routing/prompt-parts.js";
import type * as attemptObserver from "../admission/attempt-observer.js";
import type * as routeRequest from "../router/route-request.js";
import type * as types from "../wire/types.js";
import type * as batch from "./batch.js";
import type * as scenarios from "./scenario.js";
import * as system from "./system.js";

/** Attempts of one request, and sends to runners within an attempt. */
const MAX_ATTEMPTS = 4;
const MAX_SENDS_PER_ATTEMPT = 2;
/** A client waits for at most this fraction of the time it has left. */
const MAX_WAIT_FRACTION = 1 / 3;
const MIN_TIME_LEFT_MS = 50;
const SAME_REGION_TRIP_MS = 0.5;
/** The Retry-After, in seconds, when all attempted runners have rejected the request. */
const REJECTED_BY_RUNNERS_RETRY_AFTER_S = 0.3;
/** Value of a response within its target latency at the first attempt, at a later one, and past the target. */
const OUTCOME_VALUE = { onTarget: 1, onTargetAfterRetry: 0.5, late: 0.3 } as const;

/** How a request ended; `open`: neither a response nor a refusal. */
export type Outcome = "in_aim" | "late" | "too_late" | "refused" | "open";

/** One request of a client, all its attempts together. */
export interface RequestRecord {
  kind: string;
  arrivedAt: number;
  /** Size over the usual size of its kind. */
  relativeSize: number;
  outcome: Outcome;
  attempts: number;
  /** How long each refusal took; `freeCapacity` is the fraction of slots that was free at that moment. */
  refusalLatenciesMs: number[];
  retryAfterS: number[];
  freeCapacity: number[];
  /** How often a runner accepted it. */
  admissions: number;
  /** The value of the outcome to the client, 0 to 1. */
  value: number;
  session: string;
}

/** The fleet as its clients see it; implemented by the overload day. */
export interface OverloadedFleet {
  readonly clock: types.Clock;
  readonly runners: ReadonlyMap<string, batch.BatchRunner>;
  readonly routers: readonly system.ModelRouter[];
  /** A random router for one attempt. */
  pickRouter(): system.ModelRouter;
  /** Delay of the router's event loop. */
  eventLoopDelayMs(router: system.ModelRouter): number;
  /** The fraction of all slots that is free. */
  freeCapacity(): number;
}

/** A request on its way from a router to a runner. */
interface Send {
  readonly router: system.ModelRouter;
  /** The runner as the router sees it, and the model that does the work. */
  readonly runner: runnerEndpoint.RunnerEndpoint;
  readonly model: batch.BatchRunner;
  readonly observer: attemptObserver.AttemptObserver;
  readonly request: routeRequest.RouteRequest;
  /** Ids of the runners that rejected this attempt. */
  readonly attemptedRunners: Set<string>;
  /** Between router and runner. */
  readonly oneWayDelayMs: number;
}

/** One request of a client, with its retries. */
export class ClientRequest {
  private attemptStartedAt = 0;
  private readonly deadline: number;
  private sends = 0;

  constructor(
    private readonly fleet: OverloadedFleet,
    private readonly scenario: scenarios.Scenario,
    private readonly kind: scenarios.Kind,
    private readonly parts: promptParts.PromptPart[],
    private readonly events: number,
    private readonly record: RequestRecord,
  ) {
    this.deadline = fleet.clock.now() + kind.deadline_ms;
  }

  /** Begins an attempt; the request calls it again after a refusal. */
  startAttempt(): void {
    this.attemptStartedAt = this.fleet.clock.now();
    this.record.attempts += 1;
    const router = this.fleet.pickRouter();
    const attemptedRunners = new Set<string>();
    this.fleet.clock.schedule(this.fleet.eventLoopDelayMs(router), () => this.send(router, attemptedRunners));
  }

  private send(router: system.ModelRouter, attemptedRunners: Set<string>): void {
    const entry = router.picker.routeTable!.find("whatif", `/${this.kind.name}/`)!;
    this.sends += 1;
    const request = system.buildRequest(entry, `r-${this.record.arrivedAt}-${this.sends}`, this.parts, this.deadline, this.events);
    router.picker.countRequest(request);
    const choice = router.picker.pick(request, attemptedRunners, attemptedRunners.size);
    if ("status" in choice) {
      this.onRefusal(choice.retryAfterS);
      return;
    }
    choice.runner.connections.release(choice.connection, true);
    const model = this.fleet.runners.get(choice.runner.id)!;
    choice.runner.inflight += 1;
    const oneWayDelayMs = router.region === model.region ? SAME_REGION_TRIP_MS : this.scenario.trip_ms;
    const send: Send = { router, runner: choice.runner, model, observer: choice.observer, request, attemptedRunners, oneWayDelayMs };
    this.fleet.clock.schedule(oneWayDelayMs, () => this.submit(send));
  }

  private submit(send: Send): void {
    const { fleet, kind } = this;
    const { router, runner, model, observer } = send;
    const tokens = system.publishPrefill(fleet.clock, fleet.routers, router, model.id, send.request);
    const sentAt = fleet.clock.now();
    let hasFirst = false;
    const isAccepted = model.submit({
      parts: this.parts,
      events: this.events,
      priority: kind.priority,
      deadline: this.deadline,
      onFirstEvent: () => {
        hasFirst = true;
        router.prefillTracker.learnRate(tokens, fleet.clock.now() - sentAt);
        runner.recordReceived(fleet.clock.now());
        observer.recordFirstEvent();
        this.recordFirstEvent(send.oneWayDelayMs);
      },
      onEnd: (isComplete) => {
        runner.inflight -= 1;
        observer.recordEnd(isComplete ? "complete" : "stopped");
        this.recordEnd(isComplete && hasFirst);
      },
    });
    if (isAccepted) {
      this.record.admissions += 1;
      return;
    }
    runner.inflight -= 1;
    observer.recordEnd("not_run");
    runner.recordRejection(fleet.clock.now(), false);
    send.attemptedRunners.add(model.id);
    if (send.attemptedRunners.size < MAX_SENDS_PER_ATTEMPT) this.send(router, send.attemptedRunners);
    else this.onRefusal(REJECTED_BY_RUNNERS_RETRY_AFTER_S);
  }

  private recordFirstEvent(oneWayDelayMs: number): void {
    const firstEventMs = this.fleet.clock.now() + oneWayDelayMs - this.attemptStartedAt;
    const isOnTarget = firstEventMs <= this.kind.aim_ms;
    this.record.outcome = isOnTarget ? "in_aim" : "late";
    if (!isOnTarget) this.record.value = OUTCOME_VALUE.late;
    else this.record.value = this.record.attempts === 1 ? OUTCOME_VALUE.onTarget : OUTCOME_VALUE.onTargetAfterRetry;
  }

  private recordEnd(isComplete: boolean): void {
    if (isComplete) return;
    this.record.outcome = "too_late";
    this.record.value = 0;
  }

  private onRefusal(retryAfterS: number): void {
    const { clock } = this.fleet;
    this.record.refusalLatenciesMs.push(clock.now() - this.attemptStartedAt);
    this.record.retryAfterS.push(retryAfterS);
    this.record.freeCapacity.push(this.fleet.freeCapacity());
    const remainingMs = this.deadline - clock.now();
    const waitMs = Math.min(retryAfterS * 1000, remainingMs * MAX_WAIT_FRACTION);
    if (this.record.attempts >= MAX_ATTEMPTS || remainingMs - waitMs < MIN_TIME_LEFT_MS) this.record.outcome = "refused";
    else clock.schedule(waitMs, () => this.startAttempt());
  }
}
