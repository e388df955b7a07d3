/**
 * How many runners a service needs in a zone (design/duties 7): more as soon as its slots have been nearly full for a moment, fewer
 * only after a long time of low use, in small steps. Pure but for its clock; the holder of the lease orders what it says.
 */
import type * as dutySchema from "../wire/duty-schema.js";
import type * as types from "../wire/types.js";
import * as dutyTable from "./duty-table.js";

/** Share of the slots that is in use, or waited for, when more runners are ordered. */
const HIGH_USE = 0.7;
/** Share of the slots in use that an order aims at: what is left bears the loss of another region. */
const TARGET_USE = 0.5;
/** Use must be high for so long: shorter bursts are over before a runner has started. */
const HIGH_FOR_MS = 2500;
/** Fewer runners are ordered by what was needed at most within this time. */
const LOW_FOR_MS = 120_000;
/** Fewer are ordered only where the need is below this share of the runners, and by at most this share at once. */
const LOW_NEED_SHARE = 0.7;
const MAX_STEP_SHARE = 0.2;
/** Between two orders of fewer runners. */
const STEP_INTERVAL_MS = 30_000;
/** After its start a runner still warms up before its use says anything. */
const SETTLE_MS = 3000;

/** The runners of a service in a zone, as the platform lists them and by their load reports. */
export interface ZoneLoad {
  service: string;
  zone: string;
  /** Listed and not draining. */
  runners: number;
  /** Of all of them. */
  slots: number;
  /** Requests that run or wait. */
  requests: number;
}

/** `scaling` of a service in the configuration; the counts apply to each zone. */
export interface ScalingBounds {
  minCount: number;
  maxCount: number;
  startupMs: number;
}

interface Sample {
  at: number;
  /** Runners needed at the target use. */
  need: number;
}

interface SubjectState {
  /** Needs of the last LOW_FOR_MS, each larger than all that follow. */
  needs: Sample[];
  observedSince: number;
  /** Since when use has been high; null: it is not. */
  highSince: number | null;
  /** The need at its highest since then. */
  highNeed: number;
  orderedAt: number;
}

/** One for each holder; what it remembers begins anew with a new holder. */
export class RunnerDemand {
  private readonly subjects = new Map<string, SubjectState>();

  constructor(private readonly clock: types.Clock) {}

  /** The orders that differ from those in force; a zone without runners or bounds is left alone. */
  newOrders(
    loads: readonly ZoneLoad[],
    boundsOf: (service: string) => ScalingBounds | null,
    inForce: readonly dutySchema.RunnerOrder[],
  ): dutySchema.RunnerOrder[] {
    const orders: dutySchema.RunnerOrder[] = [];
    for (const load of loads) {
      const bounds = boundsOf(load.service);
      if (!bounds || load.runners === 0) continue;
      const subject = dutyTable.subjectOf(load);
      const ordered = inForce.find((order) => dutyTable.subjectOf(order) === subject)?.desired ?? load.runners;
      const desired = this.desiredFor(subject, load, ordered, bounds);
      if (desired !== ordered) orders.push({ service: load.service, zone: load.zone, desired });
    }
    return orders;
  }

  private desiredFor(subject: string, load: ZoneLoad, ordered: number, bounds: ScalingBounds): number {
    const now = this.clock.now();
    const state = this.stateOf(subject, now);
    const need = neededRunners(load);
    recordNeed(state, now, need);
    recordUse(state, now, load.requests / load.slots, need);
    const desired = this.isHigh(state, now, bounds) ? Math.max(ordered, state.highNeed) : this.lowered(state, now, ordered);
    const bounded = Math.min(bounds.maxCount, Math.max(bounds.minCount, desired));
    if (bounded !== ordered) state.orderedAt = now;
    return bounded;
  }

  private stateOf(subject: string, now: number): SubjectState {
    const known = this.subjects.get(subject);
    if (known) return known;
    const state = { needs: [], observedSince: now, highSince: null, highNeed: 0, orderedAt: Number.NEGATIVE_INFINITY };
    this.subjects.set(subject, state);
    return state;
  }

  /** Runners that were ordered and have not started yet are waited for. */
  private isHigh(state: SubjectState, now: number, bounds: ScalingBounds): boolean {
    if (state.highSince === null || now - state.highSince < HIGH_FOR_MS) return false;
    return now - state.orderedAt >= bounds.startupMs + SETTLE_MS;
  }

  private lowered(state: SubjectState, now: number, ordered: number): number {
    if (now - state.observedSince < LOW_FOR_MS || now - state.orderedAt < STEP_INTERVAL_MS) return ordered;
    const most = state.needs[0].need;
    if (most >= ordered * LOW_NEED_SHARE) return ordered;
    return Math.max(most, ordered - Math.max(1, Math.floor(ordered * MAX_STEP_SHARE)));
  }
}

function neededRunners({ runners, slots, requests }: ZoneLoad): number {
  return Math.ceil(requests / ((slots / runners) * TARGET_USE));
}

function recordNeed(state: SubjectState, now: number, need: number): void {
  const { needs } = state;
  while (needs.length > 0 && needs[needs.length - 1].need <= need) needs.pop();
  needs.push({ at: now, need });
  while (now - needs[0].at > LOW_FOR_MS) needs.shift();
}

function recordUse(state: SubjectState, now: number, use: number, need: number): void {
  if (use < HIGH_USE) {
    state.highSince = null;
    state.highNeed = 0;
    return;
  }
  state.highSince ??= now;
  state.highNeed = Math.max(state.highNeed, need);
}
