/**
 * What admission reports of itself in a router's `status` (docs/admission.md). The names of the fields are read by
 * `cranewind capacity` and by operators: they change only with a note in the docs.
 */
import type * as serviceTimeModel from "./service-time-model.js";
import type * as typicalRequest from "./typical-request.js";

/** The ranks that waits are learned for; ranks above the last count as the last. */
const RANKS = [0, 1, 2] as const;

/** What the status is made from; built by `Admission.status`. */
export interface Sources {
  /** Milliseconds of the steady clock. */
  readonly now: number;
  readonly isOn: boolean;
  /** Speed of prefill in tokens a millisecond. */
  readonly rate: number;
  /** Lag of the router's event loop, in milliseconds. */
  readonly lagMs: number;
  /** Requests recorded as rejected lately. */
  readonly returners: number;
  readonly tally: unknown;
  readonly cells: unknown;
  readonly services: Iterable<[string, serviceTimeModel.ServiceTimeModel]>;
  readonly routes: Iterable<[string, typicalRequest.TypicalRequest]>;
}

/** The part `admission` of a router's status, as plain JSON. */
export function statusOf(from: Sources): unknown {
  return {
    isOn: from.isOn,
    rate: from.rate,
    lagMs: from.lagMs,
    returners: from.returners,
    tally: from.tally,
    cells: from.cells,
    services: servicesOf(from),
    kinds: kindsOf(from.routes),
  };
}

function servicesOf({ services, now }: Sources): unknown[] {
  const rows: unknown[] = [];
  for (const [name, serviceTime] of services) {
    const errors: unknown[] = [];
    for (const rank of RANKS) errors.push(waitErrorsOf(serviceTime, rank, now));
    rows.push({ name, heldMs: serviceTime.occupancyMs(true), errors });
  }
  return rows;
}

function waitErrorsOf(serviceTime: serviceTimeModel.ServiceTimeModel, rank: number, now: number): unknown {
  const error = serviceTime.waitErrorOf(rank);
  return {
    rank,
    replies: error.count,
    p50: error.percentile(50, 1),
    p90: error.percentile(90, 1),
    p99: error.percentile(99, 1),
    margin: serviceTime.waitFactor(rank, now),
  };
}

function kindsOf(routes: Iterable<[string, typicalRequest.TypicalRequest]>): unknown[] {
  const rows: unknown[] = [];
  for (const [route, request] of routes) rows.push({ route, service: request.service, ...request.status() });
  return rows;
}
