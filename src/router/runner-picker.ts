// The fixed chain of policies and what it needs to send on: runner, connection, shares (design 7.2).
import * as admissions from "../admission/admission.js";
import * as recentRejections from "../admission/recent-rejections.js";
import type * as attemptObserver from "../admission/attempt-observer.js";
import * as routes from "../config/routes.js";
import * as log from "../runtime/log.js";
import * as shares from "../limits/shares.js";
import * as types from "../wire/types.js";
import type * as connectionPool from "../runners/connection-pool.js";
import type * as runnerFleet from "../runners/runner-fleet.js";
import type * as runnerEndpoint from "../runners/runner-endpoint.js";
import type * as routePlan from "../routing/route-plan.js";
import * as policyChain from "./policies/policy-chain.js";
import * as admissionPolicy from "./policies/admission-policy.js";
import * as cellPolicy from "./policies/cell-policy.js";
import * as homesPolicy from "./policies/homes-policy.js";
import * as runnerPolicy from "./policies/runner-policy.js";
import type * as prefillTracker from "../runners/prefill-tracker.js";
import type * as routeRequest from "./route-request.js";
import type * as zoneRotation from "../runners/zone-rotation.js";

/** Where a request goes, and by which connection. */
export interface Pick {
  runner: runnerEndpoint.RunnerEndpoint;
  connection: connectionPool.Connection;
  observer: attemptObserver.AttemptObserver;
}

const MIN_CONNECTIONS = 2;
const SILENCE_TIMEOUT_GAPS = 0.75;
const SILENCE_TIMEOUT_LATENCY_TARGETS = 1;
const MIN_SILENCE_TIMEOUT_MS = 300;
const MIN_RETRY_S = 0.2;
const MAX_RETRY_S = 3;

function boundedRetryS(seconds: number): number {
  return Math.min(MAX_RETRY_S, Math.max(MIN_RETRY_S, seconds));
}

/** The chain of policies of one router. */
export class RunnerPicker {
  private readonly policies: policyChain.Policy[];
  routeTable: routes.RouteTable | null = null;
  readonly admission: admissions.Admission;

  constructor(
    private readonly clock: types.Clock,
    fleet: runnerFleet.RunnerFleet,
    rotation: zoneRotation.ZoneRotation,
    private readonly limits: shares.Shares,
    ownRegion: string,
    readonly prefills: prefillTracker.PrefillTracker,
  ) {
    this.admission = new admissions.Admission(clock, { runners: fleet.inRegion.bind(fleet), prefill: prefills, routerCount: routers });
    this.policies = [
      new homesPolicy.HomesPolicy(fleet, rotation),
      new cellPolicy.CellPolicy(ownRegion, fleet.summaries),
      new runnerPolicy.RunnerPolicy(prefills),
      new admissionPolicy.AdmissionPolicy(this.admission),
    ];
    function routers(): number {
      return limits.routers;
    }
  }

  /** Requests of clients earn further tries of their service; items of batches take and earn none. */
  countRequest(request: routeRequest.RouteRequest): void {
    if (!request.isBatch) this.limits.countRequest(request.service);
  }

  /** Runners that one try may be sent to. */
  maxAttempts(request: routeRequest.RouteRequest): number {
    return request.isBatch ? 1 : Math.max(1, request.entry.route.max_attempts ?? 1);
  }

  /** How long a runner may be silent before a repeatable request leaves it. */
  silenceTimeoutMs(entry: routes.RouteEntry, isPassing: boolean, runner: runnerEndpoint.RunnerEndpoint, now: number): number {
    const { target_gap_ms: gap, target_latency_ms: aim } = entry.route;
    const usual = isPassing ? (gap ?? 1000) * SILENCE_TIMEOUT_GAPS : (aim ?? 1000) * SILENCE_TIMEOUT_LATENCY_TARGETS;
    // A runner that speaks to others is at work; one that is silent to all is not worth the wait.
    if (runner.silentMs(now) < usual && runner.isReporting) return Math.max(2 * usual, 1500);
    return Math.max(MIN_SILENCE_TIMEOUT_MS, usual);
  }

  pick(request: routeRequest.RouteRequest, tried: ReadonlySet<string>, sends: number): Pick | routePlan.Rejection {
    const shared = request.parts.slice(0, -1);
    let sharedTokens = 0;
    for (const part of shared) sharedTokens += part.tokens;
    const plan: routePlan.RoutePlan = {
      requestId: request.requestId,
      rank: request.rank,
      isBatch: request.isBatch,
      entry: request.entry,
      tenant: request.tenant,
      service: request.service,
      parts: request.parts,
      prefixKeys: request.prefixKeys,
      sharedParts: shared,
      sharedTokens,
      attemptedRunners: tried,
      now: this.clock.now(),
      deadline: request.deadline,
      requestedTokens: request.requestedTokens,
      retryKey: recentRejections.requestKey(request.entry.route.name, request.prefixKeys, request.body),
      cells: [],
      candidates: [],
    };
    const rejection = policyChain.runPolicies(this.policies, plan);
    if (rejection) return rejection;
    if (sends > 0 && !this.limits.takeRepeat(request.service)) {
      log.count("router.budget_spent");
      return { status: 503, cause: "the budget of further tries is spent", retryAfterS: 0.5 };
    }
    const choice = this.pickConnected(plan);
    if (sends > 0 && "status" in choice) this.limits.returnRetry(request.service);
    return choice;
  }

  /** A further try that was granted and never left is given back. */
  giveBack(service: string): void {
    this.limits.returnRetry(service);
  }

  /** When it is worth to come back: once the least pending of the candidates has read what it has ahead. */
  private retryAfterS(plan: routePlan.RoutePlan): number {
    let least = Infinity;
    for (const runner of plan.candidates) least = Math.min(least, this.prefills.backlogMs(runner.id, plan.now));
    return boundedRetryS(Number.isFinite(least) ? MIN_RETRY_S + least / 1000 : MIN_RETRY_S);
  }

  private pickConnected(plan: routePlan.RoutePlan): Pick | routePlan.Rejection {
    const service = this.routeTable?.services.get(plan.service);
    const most = Math.max(MIN_CONNECTIONS, Math.floor((service?.max_connections ?? 1000) / this.limits.routers));
    const perS = service?.warmup_per_s ?? 0;
    let hasCold = false;
    for (const runner of plan.candidates) {
      const isCold = perS > 0 && runner.isWarmingUp(plan.now);
      hasCold ||= isCold;
      if (isCold && !this.limits.takeCold(runner.id, perS)) continue;
      const connection = runner.connections.acquire(most, plan.entry.isRepeatable);
      if (connection) return { runner, connection, observer: this.admission.recordSend(plan, runner) };
    }
    log.count(hasCold ? "router.all_cold" : "router.all_busy");
    if (hasCold) return { status: 503, cause: "the runners are warming up", retryAfterS: boundedRetryS(this.limits.coldWaitS(perS)) };
    return { status: 503, cause: "all runners are taken", retryAfterS: this.retryAfterS(plan) };
  }
}
