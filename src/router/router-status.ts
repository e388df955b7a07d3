/** What a router shows of itself in `status` (design 9.1). */
import * as log from "../runtime/log.js";
import * as vitals from "../runtime/vitals.js";
import * as counts from "../wire/counts.js";
import type * as schema from "../wire/schema.js";
import type * as types from "../wire/types.js";
import type * as leasedLimits from "../limits/leased-limits.js";
import type * as runnerPicker from "./runner-picker.js";
import type * as serveGate from "./serve-gate.js";
import type * as runnerFleet from "../runners/runner-fleet.js";

/** What a router follows now. */
export interface RouterPosition {
  epoch: types.Epoch;
  revision: number;
  following: string | null;
}

/** The parts that the status is composed of. */
export interface StatusSources {
  node: schema.NodeInfo;
  following: string | null;
  configuration: serveGate.GateStatus;
  limits: leasedLimits.LeasedLimits;
  picker: runnerPicker.RunnerPicker;
  fleet: runnerFleet.RunnerFleet;
  now: number;
}

/** The status of a router as JSON; `cranewind status` reads its names. */
export function routerStatus(sources: StatusSources): unknown {
  const runners: unknown[] = [];
  for (const runner of sources.fleet.all()) runners.push(runner.describe(sources.now));
  return {
    node: sources.node,
    following: sources.following,
    configuration: sources.configuration,
    routers: sources.limits.routers,
    sharesValid: sources.limits.isValid(),
    admission: sources.picker.admission.status(),
    runners,
    counters: Object.fromEntries(log.counted()),
    vitals: vitals.vitals(),
    links: Object.fromEntries(counts.linkCounts()),
  };
}
