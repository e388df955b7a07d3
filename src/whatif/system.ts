/** The router's own policies, several routers of them, over a planned clock and model runners (design 11.2). */
import * as configurationCheck from "../config/configuration-check.js";
import * as routeTable from "../config/route-table.js";
import * as runnerPicker from "../router/runner-picker.js";
import * as runnerFleet from "../runners/runner-fleet.js";
import * as promptParts from "../routing/prompt-parts.js";
import * as prefillTracker from "../runners/prefill-tracker.js";
import * as zoneRotation from "../runners/zone-rotation.js";
import * as leasedLimits from "../limits/leased-limits.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import type * as routeRequest from "../router/route-request.js";
import type * as scenarios from "./scenario.js";
import * as plannedClock from "./planned-clock.js";

const PREFILL_NOTICE_DELAY_MS = 5;
/** Bounds on retries and warm-up, as in a usual settings file. */
export const BOUNDS = { retry_ratio: 0.2, retry_window_s: 10, retry_extra: 50, warmup_overshoot: 1.5, warmup_tolerance: 5 };

/** One router: its policies are those of the real one, its links are calls. */
export class ModelRouter {
  readonly prefillTracker = new prefillTracker.PrefillTracker();
  readonly fleet: runnerFleet.RunnerFleet;
  readonly rotation: zoneRotation.ZoneRotation;
  readonly limits: leasedLimits.LeasedLimits;
  readonly picker: runnerPicker.RunnerPicker;

  constructor(
    readonly region: string,
    clock: plannedClock.PlannedClock,
    regions: readonly string[],
    table: routeTable.RouteTable,
  ) {
    this.fleet = new runnerFleet.RunnerFleet(clock, new Map(regions.map(regionToItself)));
    this.rotation = new zoneRotation.ZoneRotation(clock);
    this.limits = new leasedLimits.LeasedLimits(clock, BOUNDS);
    this.picker = new runnerPicker.RunnerPicker(clock, this.fleet, this.rotation, this.limits, region, this.prefillTracker);
    this.picker.routeTable = table;
  }

  /** Records a prefill for runner selection and for the runner's status, as a router process does. */
  recordPrefill(runner: string, unread: number, keys: readonly number[], now: number): void {
    this.prefillTracker.recordPrefill(runner, unread, keys, now);
    this.fleet.recordPrefill(types.small(runner), unread / this.prefillTracker.tokensPerMs);
  }
}

function regionToItself(region: string): [string, string] {
  return [region, region];
}

/** The routes of a scenario: one per kind. */
export function buildRouteTable(scenario: scenarios.Scenario): routeTable.RouteTable {
  const { capacity, warmup_s, warmup_per_s } = scenario.runner;
  const config = configurationCheck.check({
    revision: 1,
    services: [{ name: "model", max_connections: capacity * 1000, warmup_s, warmup_per_s, runtime: { capacity } }],
    routes: scenario.kinds.map(routeOf),
  });
  if (config.isErr) throw config.error;
  return new routeTable.RouteTable(config.value);
}

function routeOf(kind: scenarios.Kind): unknown {
  return {
    name: kind.name,
    hostname: "whatif",
    path_prefix: `/${kind.name}/`,
    route_type: "streaming",
    deadline_ms: kind.deadline_ms,
    target_latency_ms: kind.aim_ms,
    priority: kind.priority,
    service: "model",
    max_attempts: 2,
    session_affinity: true,
    resumable: true,
    allowed_regions: kind.homes,
  };
}

/** A runner as the platform's list shows it. */
export interface RunnerState {
  readonly id: string;
  readonly region: string;
  readonly isUp: boolean;
}

/** The list of the runners that are up; `coldMs` says how long a new one warms up. */
export function buildInstances(
  runners: Iterable<RunnerState>,
  capacity: number,
  warmupMsByRunner: ReadonlyMap<string, number>,
): schema.Instance[] {
  const made: schema.Instance[] = [];
  for (const runner of runners) {
    if (!runner.isUp) continue;
    made.push({
      id: types.small(runner.id),
      service: "model",
      address: "127.0.0.1:9",
      zone: runner.region,
      capacity,
      isDraining: false,
      coldMs: warmupMsByRunner.get(runner.id) ?? 0,
      leavesMs: -1,
    });
  }
  return made;
}

/** Builds a request as the router's HTTP server would. */
export function buildRequest(
  entry: routeTable.RouteEntry,
  requestId: string,
  parts: promptParts.PromptPart[],
  deadline: number,
  maxOutputTokens = 0,
): routeRequest.RouteRequest {
  const requestedTokens = { ...promptParts.parseRequestedTokens(undefined, parts), maxOutput: maxOutputTokens };
  return {
    requestId: types.small(requestId),
    entry,
    service: "model",
    rank: routeTable.rankOf(entry.route),
    isBatch: false,
    tenant: null,
    parts,
    prefixKeys: promptParts.prefixKeys(parts),
    arrivedAt: 0,
    deadline,
    requestedTokens: requestedTokens,
    body: null,
  };
}

/**
 * Records a prefill at the sending router, and at the others after the delay of a hint.
 * Returns the number of uncached tokens.
 */
export function publishPrefill(
  clock: types.Clock,
  routers: readonly ModelRouter[],
  from: ModelRouter,
  runner: string,
  request: routeRequest.RouteRequest,
): number {
  const unread = Math.round(from.prefillTracker.uncachedTokens(runner, request.parts, request.prefixKeys));
  from.recordPrefill(runner, unread, request.prefixKeys, clock.now());
  function deliver(): void {
    for (const router of routers) if (router !== from) router.recordPrefill(runner, unread, request.prefixKeys, clock.now());
  }
  clock.schedule(PREFILL_NOTICE_DELAY_MS, deliver);
  return unread;
}
