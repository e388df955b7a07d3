/** A client of an overload day: a deadline, retries as told by Retry-After, one router a try (design/admission 7). */
import type * as runnerEndpoint from "../runners/runner-endpoint.js";
import type * as promptParts from "../routing/prompt-parts.js";
import type * as attemptObserver from "../admission/attempt-observer.js";
import type * as routeRequest from "../router/route-request.js";
import type * as types from "../wire/types.js";
import type * as batch from "./batch.js";
import type * as scenarios from "./scenario.js";
import * as system from "./system.js";

/** Tries of one request, and sends to runners within a try. */
const MAX_TRIES = 4;
const MAX_SENDS = 2;
/** A client waits for at most this share of the time it has left. */
const HONOURED_SHARE = 1 / 3;
const MIN_TIME_LEFT_MS = 50;
const SAME_REGION_TRIP_MS = 0.5;
/** What a client is told when all runners tried have handed its request back. */
const HANDED_BACK_RETRY_S = 0.3;
/** Worth of a response within its aim at the first try, at a later one, and past its aim. */
const WORTH = { inAim: 1, inAimAfterRetry: 0.5, late: 0.3 } as const;

/** How a request ended; `open`: neither a response nor a refusal. */
export type Outcome = "in_aim" | "late" | "too_late" | "refused" | "open";

/** One request of a client, all its tries together. */
export interface RequestRecord {
  kind: string;
  at: number;
  /** Over the usual size of its kind. */
  size: number;
  outcome: Outcome;
  tries: number;
  /** How long each refusal took, and the part of places free at that moment. */
  refusedMs: number[];
  retryAfterS: number[];
  unused: number[];
  /** Times that a runner took it in; a second is never needed for what is not repeated. */
  admitted: number;
  /** What the outcome was worth, 0 to 1. */
  worth: number;
  session: string;
}

/** What the clients meet; the overload day is it. */
export interface OverloadedFleet {
  readonly clock: types.Clock;
  readonly runners: ReadonlyMap<string, batch.BatchRunner>;
  readonly routers: readonly system.ModelRouter[];
  /** The router of one try, by chance. */
  pickRouter(): system.ModelRouter;
  /** Milliseconds by which the router's loop is late. */
  lagOf(router: system.ModelRouter): number;
  /** The part of all places that is free. */
  unused(): number;
}

/** A request on its way from a router to a runner. */
interface Send {
  readonly router: system.ModelRouter;
  /** The runner as the router sees it, and the model that does the work. */
  readonly runner: runnerEndpoint.RunnerEndpoint;
  readonly model: batch.BatchRunner;
  readonly ticket: attemptObserver.AttemptObserver;
  readonly request: routeRequest.RouteRequest;
  /** Ids of the runners that handed this try back. */
  readonly tried: Set<string>;
  /** Milliseconds between the two, one way. */
  readonly tripMs: number;
}

/** One request of a client and its returns. */
export class ClientRequest {
  private startedAt = 0;
  private readonly deadline: number;
  private ids = 0;

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

  /** Begins a try; called again by the request itself after a refusal. */
  start(): void {
    this.startedAt = this.fleet.clock.now();
    this.record.tries += 1;
    const router = this.fleet.pickRouter();
    this.fleet.clock.schedule(this.fleet.lagOf(router), this.send.bind(this, router, new Set<string>()));
  }

  private send(router: system.ModelRouter, tried: Set<string>): void {
    const entry = router.picker.routeTable!.find("whatif", `/${this.kind.name}/`)!;
    this.ids += 1;
    const request = system.buildRequest(entry, `r-${this.record.at}-${this.ids}`, this.parts, this.deadline, this.events);
    router.picker.countRequest(request);
    const choice = router.picker.pick(request, tried, tried.size);
    if ("status" in choice) {
      this.onRefusal(choice.retryAfterS);
      return;
    }
    choice.runner.connections.release(choice.connection, true);
    const model = this.fleet.runners.get(choice.runner.id)!;
    choice.runner.inflight += 1;
    const tripMs = router.region === model.region ? SAME_REGION_TRIP_MS : this.scenario.trip_ms;
    const send: Send = { router, runner: choice.runner, model, ticket: choice.observer, request, tried, tripMs };
    this.fleet.clock.schedule(tripMs, () => this.submit(send));
  }

  private submit(send: Send): void {
    const { fleet, kind } = this;
    const { router, runner, model, ticket } = send;
    const tokens = system.publishPrefill(fleet.clock, fleet.routers, router, model.id, send.request);
    const sentAt = fleet.clock.now();
    const recordFirstEvent = this.first.bind(this, send.tripMs);
    const recordEnd = this.ended.bind(this);
    let hasFirst = false;
    const isTaken = model.submit({
      parts: this.parts,
      events: this.events,
      priority: kind.priority,
      deadline: this.deadline,
      first(): void {
        hasFirst = true;
        router.prefillTracker.learnRate(tokens, fleet.clock.now() - sentAt);
        runner.recordReceived(fleet.clock.now());
        ticket.recordFirstEvent();
        recordFirstEvent();
      },
      ended(isWhole): void {
        runner.inflight -= 1;
        ticket.recordEnd(isWhole ? "complete" : "stopped");
        recordEnd(isWhole && hasFirst);
      },
    });
    if (isTaken) {
      this.record.admitted += 1;
      return;
    }
    runner.inflight -= 1;
    ticket.recordEnd("not_run");
    runner.recordRejection(fleet.clock.now(), false);
    send.tried.add(model.id);
    if (send.tried.size < MAX_SENDS) this.send(router, send.tried);
    else this.onRefusal(HANDED_BACK_RETRY_S);
  }

  private first(tripMs: number): void {
    const firstMs = this.fleet.clock.now() + tripMs - this.startedAt;
    const isInAim = firstMs <= this.kind.aim_ms;
    this.record.outcome = isInAim ? "in_aim" : "late";
    if (!isInAim) this.record.worth = WORTH.late;
    else this.record.worth = this.record.tries === 1 ? WORTH.inAim : WORTH.inAimAfterRetry;
  }

  private ended(isWhole: boolean): void {
    if (isWhole) return;
    this.record.outcome = "too_late";
    this.record.worth = 0;
  }

  private onRefusal(retryAfterS: number): void {
    const { clock: world } = this.fleet;
    this.record.refusedMs.push(world.now() - this.startedAt);
    this.record.retryAfterS.push(retryAfterS);
    this.record.unused.push(this.fleet.unused());
    const left = this.deadline - world.now();
    const waitMs = Math.min(retryAfterS * 1000, left * HONOURED_SHARE);
    if (this.record.tries >= MAX_TRIES || left - waitMs < MIN_TIME_LEFT_MS) this.record.outcome = "refused";
    else world.schedule(waitMs, () => this.start());
  }
}
