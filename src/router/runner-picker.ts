/** Picks a runner and a connection for each attempt: the chain of policies, then the limits on retries, warm-up and connections (design 7.2). */
import * as admissions from "../admission/admission.js";
import * as recentRejections from "../admission/recent-rejections.js";
import type * as attemptObserver from "../admission/attempt-observer.js";
import * as routeTable from "../config/route-table.js";
import * as log from "../runtime/log.js";
import * as leasedLimits from "../limits/leased-limits.js";
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

/** Where an attempt goes, and over which connection. */
export interface Pick {
  runner: runnerEndpoint.RunnerEndpoint;
  connection: connectionPool.Connection;
  observer: attemptObserver.AttemptObserver;
}

/** Connections to one runner that a router may open however many routers there are. */
const MIN_CONNECTIONS = 2;
/** A stream is silent after so many of its route's gaps, a response before its first byte after so many latency targets. */
const SILENCE_TIMEOUT_GAPS = 0.75;
const SILENCE_TIMEOUT_LATENCY_TARGETS = 1;
const MIN_SILENCE_TIMEOUT_MS = 300;
const MIN_RETRY_S = 0.2;
const MAX_RETRY_S = 3;

function boundedRetryS(seconds: number): number {
  return Math.min(MAX_RETRY_S, Math.max(MIN_RETRY_S, seconds));
}

/** One for each router. */
export class RunnerPicker {
  private readonly policies: policyChain.Policy[];
  routeTable: routeTable.RouteTable | null = null;
  readonly admission: admissions.Admission;

  constructor(
    private readonly clock: types.Clock,
    fleet: runnerFleet.RunnerFleet,
    rotation: zoneRotation.ZoneRotation,
    private readonly limits: leasedLimits.LeasedLimits,
    ownRegion: string,
    readonly prefills: prefillTracker.PrefillTracker,
  ) {
    this.admission = new admissions.Admission(clock, {
      runners: (region) => fleet.inRegion(region),
      prefill: prefills,
      routerCount: () => limits.routers,
    });
    this.policies = [
      new homesPolicy.HomesPolicy(fleet, rotation),
      new cellPolicy.CellPolicy(ownRegion, fleet.summaries),
      new runnerPolicy.RunnerPolicy(prefills),
      new admissionPolicy.AdmissionPolicy(this.admission),
    ];
  }

  /** Requests of clients add to the retry budget of their service; items of batches neither add to it nor use it. */
  countRequest(request: routeRequest.RouteRequest): void {
    if (!request.isBatch) this.limits.countRequest(request.service);
  }

  /** How many attempts a request may make, the first included. */
  maxAttempts(request: routeRequest.RouteRequest): number {
    return request.isBatch ? 1 : Math.max(1, request.entry.route.max_attempts ?? 1);
  }

  /** How long a runner may be silent before a repeatable request leaves it; milliseconds. */
  silenceTimeoutMs(entry: routeTable.RouteEntry, isForwarding: boolean, runner: runnerEndpoint.RunnerEndpoint, now: number): number {
    const { target_gap_ms: gapMs, target_latency_ms: latencyTargetMs } = entry.route;
    const typicalMs = isForwarding ? (gapMs ?? 1000) * SILENCE_TIMEOUT_GAPS : (latencyTargetMs ?? 1000) * SILENCE_TIMEOUT_LATENCY_TARGETS;
    // A runner that sends to other requests is at work; one that is silent to all is left early.
    if (runner.silentMs(now) < typicalMs && runner.isReporting) return Math.max(2 * typicalMs, 1500);
    return Math.max(MIN_SILENCE_TIMEOUT_MS, typicalMs);
  }

  /** `attemptedRunners`: of earlier attempts; `sendCount`: attempts that were sent: with one or more this is a retry, which needs budget. */
  pick(request: routeRequest.RouteRequest, attemptedRunners: ReadonlySet<string>, sendCount: number): Pick | routePlan.Rejection {
    const plan = this.buildPlan(request, attemptedRunners);
    const rejection = policyChain.runPolicies(this.policies, plan);
    if (rejection) return rejection;
    const isRetry = sendCount > 0;
    if (isRetry && !this.limits.takeRetry(request.service)) {
      log.count("router.budget_spent");
      return { status: 503, cause: "the budget of further tries is spent", retryAfterS: 0.5 };
    }
    const pick = this.pickConnected(plan);
    if (isRetry && "status" in pick) this.limits.returnRetry(request.service);
    return pick;
  }

  private buildPlan(request: routeRequest.RouteRequest, attemptedRunners: ReadonlySet<string>): routePlan.RoutePlan {
    const sharedParts = request.parts.slice(0, -1);
    let sharedTokens = 0;
    for (const part of sharedParts) sharedTokens += part.tokens;
    return {
      requestId: request.requestId,
      rank: request.rank,
      isBatch: request.isBatch,
      entry: request.entry,
      tenant: request.tenant,
      service: request.service,
      parts: request.parts,
      prefixKeys: request.prefixKeys,
      sharedParts,
      sharedTokens,
      attemptedRunners,
      now: this.clock.now(),
      deadline: request.deadline,
      requestedTokens: request.requestedTokens,
      retryKey: recentRejections.requestKey(request.entry.route.name, request.prefixKeys, request.body),
      cells: [],
      candidates: [],
    };
  }

  /** The granted retry was never sent: its budget goes back. */
  returnRetry(service: string): void {
    this.limits.returnRetry(service);
  }

  /** When a rejected client may come back: once the candidate with the shortest prefill backlog has processed it; seconds. */
  private retryAfterS(plan: routePlan.RoutePlan): number {
    let shortestMs = Infinity;
    for (const runner of plan.candidates) shortestMs = Math.min(shortestMs, this.prefills.backlogMs(runner.id, plan.now));
    return boundedRetryS(Number.isFinite(shortestMs) ? MIN_RETRY_S + shortestMs / 1000 : MIN_RETRY_S);
  }

  /** The first candidate that has a free connection and, while it warms up, a lease for one more request. */
  private pickConnected(plan: routePlan.RoutePlan): Pick | routePlan.Rejection {
    const service = this.routeTable?.services.get(plan.service);
    const maxConnections = Math.max(MIN_CONNECTIONS, Math.floor((service?.max_connections ?? 1000) / this.limits.routers));
    const warmUpPerS = service?.warmup_per_s ?? 0;
    let hasWarmingUp = false;
    for (const runner of plan.candidates) {
      const isWarmingUp = warmUpPerS > 0 && runner.isWarmingUp(plan.now);
      hasWarmingUp ||= isWarmingUp;
      if (isWarmingUp && !this.limits.takeWarmUpSend(runner.id, warmUpPerS)) continue;
      const connection = runner.connections.acquire(maxConnections, plan.entry.isRepeatable);
      if (connection) return { runner, connection, observer: this.admission.recordSend(plan, runner) };
    }
    log.count(hasWarmingUp ? "router.all_cold" : "router.all_busy");
    if (hasWarmingUp)
      return { status: 503, cause: "the runners are warming up", retryAfterS: boundedRetryS(this.limits.warmUpWaitS(warmUpPerS)) };
    return { status: 503, cause: "all runners are taken", retryAfterS: this.retryAfterS(plan) };
  }
}
