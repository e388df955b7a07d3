// A router's account of itself for `status` (design 9.1): counters first.
import * as log from "../runtime/log.js";
import * as vitals from "../runtime/vitals.js";
import * as counts from "../wire/counts.js";
import type * as schema from "../wire/schema.js";
import type * as types from "../wire/types.js";
import type * as leasedLimits from "../limits/leased-limits.js";
import type * as runnerPicker from "./runner-picker.js";
import type * as serveGate from "./serve-gate.js";
import type * as runnerFleet from "../runners/runner-fleet.js";

/** What a router goes by now. */
export interface RouterPosition {
  epoch: types.Epoch;
  revision: number;
  following: string | null;
}

/** What the account is put together from. */
export interface StatusSources {
  node: schema.NodeInfo;
  following: string | null;
  configuration: serveGate.GateStatus;
  share: leasedLimits.LeasedLimits;
  chooser: runnerPicker.RunnerPicker;
  fleet: runnerFleet.RunnerFleet;
  now: number;
}

/** The status of a router as JSON; its names are read by `cranewind status`. */
export function routerStatus(of: StatusSources): unknown {
  const runners: unknown[] = [];
  for (const runner of of.fleet.all()) runners.push(runner.describe(of.now));
  return {
    node: of.node,
    following: of.following,
    configuration: of.configuration,
    routers: of.share.routers,
    sharesValid: of.share.isValid(),
    admission: of.chooser.admission.status(),
    runners,
    counters: Object.fromEntries(log.counted()),
    vitals: vitals.vitals(),
    links: Object.fromEntries(counts.linkCounts()),
  };
}
