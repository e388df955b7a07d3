// What admission tells of itself in a router's `status` (docs/admission.md).
import type * as admissions from "./admission.js";
import type * as paces from "./pace.js";
import type * as usuals from "./usual.js";

export function account(
  of: admissions.Admission,
  services: Iterable<[string, paces.Pace]>,
  routes: Iterable<[string, usuals.Usual]>,
): unknown {
  const now = of.world.now();
  const paced: unknown[] = [];
  for (const [name, pace] of services) {
    const errors = [0, 1, 2].map(told);
    function told(rank: number): unknown {
      const error = pace.errorOf(rank);
      return {
        rank,
        replies: error.count,
        p50: error.at(50, 1),
        p90: error.at(90, 1),
        p99: error.at(99, 1),
        margin: pace.margin(rank, now),
      };
    }
    paced.push({ name, heldMs: pace.heldMs(true), errors });
  }
  const kinds: unknown[] = [];
  for (const [route, usual] of routes) kinds.push({ route, service: usual.service, ...usual.told() });
  return {
    isOn: of.isOn,
    rate: of.needs.known.rate,
    lagMs: of.lagMs,
    returners: of.returns.size,
    tally: of.tally.status(),
    cells: of.cells.status(),
    services: paced,
    kinds,
  };
}
