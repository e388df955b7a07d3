/**
 * The table of the duties at the platform as their register holds it, and its changes (design/duties 2). All functions are
 * pure. Invariants: `fence` rises with each claim and never falls; `decidedThrough` never falls, and no report of a window
 * up to it is ever decided again; only the holder's own incarnation changes anything under its fence.
 */
import * as tiny from "tiny-invariant";
import * as result from "true-myth/result";
import type * as registerStep from "../register/register-step.js";
import * as errors from "../runtime/errors.js";
import * as dutySchema from "../wire/duty-schema.js";
import type * as registerSchema from "../wire/register-schema.js";
import * as types from "../wire/types.js";

/** First byte of a packed table: the layout of what follows. */
const LAYOUT = 1;
/** `decidedThrough` before the first report. */
export const NO_WINDOW = -1;

/** The table before the first claim. */
export const EMPTY: dutySchema.DutyTable = {
  holder: "",
  life: "",
  fence: 0,
  renewal: 0,
  decidedThrough: NO_WINDOW,
  reports: [],
  orders: [],
  rollouts: [],
};

/** A node that may hold the lease. */
export interface Claimant {
  /** Of the node. */
  name: string;
  /** Incarnation of its process. */
  life: string;
}

/** What the holder changes with a renewal. */
export interface Changes {
  /** Reports that are decided now, in the order of their windows. */
  decided: readonly dutySchema.DecidedReport[];
  /** Windows whose reports the platform has accepted. */
  accepted: ReadonlySet<number>;
  /** Runner orders that are decided now; each replaces the earlier one of its service and zone. */
  orders: readonly dutySchema.RunnerOrder[];
  /** Services whose roll-outs are reverted, where they still serve. */
  reverted: ReadonlySet<string>;
}

/** A renewal that changes nothing else. */
export const NO_CHANGES: Changes = { decided: [], accepted: new Set(), orders: [], reverted: new Set() };

/** Tables by their bytes: several parts read the one that is chosen, many times a second. */
const decoded = new WeakMap<Buffer, dutySchema.DutyTable>();

/** The table in a chosen value of the duty register. Callers share the object and must not modify it. */
export function tableOf(value: registerSchema.Value): dutySchema.DutyTable {
  if (value.config.length === 0) return EMPTY;
  const known = decoded.get(value.config);
  if (known) return known;
  const table = decode(value.config);
  decoded.set(value.config, table);
  return table;
}

function decode(packed: Buffer): dutySchema.DutyTable {
  tiny.default(packed[0] === LAYOUT, "the duties were written by a release with another layout; start that release");
  return dutySchema.dutyTable.fromBuffer(packed.subarray(1));
}

/** The value with another table. */
export function withTable(value: registerSchema.Value, table: dutySchema.DutyTable): registerSchema.Value {
  const config = Buffer.concat([Buffer.of(LAYOUT), dutySchema.dutyTable.toBuffer(table)]);
  return { ...value, epoch: types.nextEpoch(value.epoch), revision: value.revision + 1, config };
}

/** Whether the lease that two tables show is the same one, not renewed in between. */
export function isSameLease(left: dutySchema.DutyTable, right: dutySchema.DutyTable): boolean {
  return left.fence === right.fence && left.renewal === right.renewal;
}

/** Claims the lease under the next fence, unless it was claimed or renewed since it was observed. */
export function claimStep(observed: dutySchema.DutyTable, claimant: Claimant): registerStep.Step {
  return (value) => {
    const table = tableOf(value);
    if (!isSameLease(table, observed)) return result.err(lostLease(table));
    return result.ok(withTable(value, { ...table, holder: claimant.name, life: claimant.life, fence: table.fence + 1, renewal: 0 }));
  };
}

/** Renews the lease and applies the holder's changes, unless another incarnation holds it by now. */
export function renewStep(fence: number, life: string, changes: Changes): registerStep.Step {
  return (value) => {
    const table = tableOf(value);
    if (table.fence !== fence || table.life !== life) return result.err(lostLease(table));
    return result.ok(withTable(value, renewed(table, changes)));
  };
}

function renewed(table: dutySchema.DutyTable, changes: Changes): dutySchema.DutyTable {
  const undecided = changes.decided.filter(({ window }) => window > table.decidedThrough);
  const open = [...table.reports, ...undecided].filter(({ window }) => !changes.accepted.has(window));
  const decidedThrough = undecided.reduce((newest, { window }) => Math.max(newest, window), table.decidedThrough);
  const replaced = new Set(changes.orders.map(subjectOf));
  const kept = table.orders.filter((order) => !replaced.has(subjectOf(order)));
  const rollouts = table.rollouts.map((rollout) => (changes.reverted.has(rollout.service) ? reverted(rollout) : rollout));
  return { ...table, renewal: table.renewal + 1, decidedThrough, reports: open, orders: [...kept, ...changes.orders], rollouts };
}

function reverted(rollout: dutySchema.Rollout): dutySchema.Rollout {
  return rollout.state === "serving" ? { ...rollout, state: "reverted" } : rollout;
}

/** What an order is about: a service in a zone. */
export function subjectOf({ service, zone }: Pick<dutySchema.RunnerOrder, "service" | "zone">): string {
  return `${service}\n${zone}`;
}

function lostLease(table: dutySchema.DutyTable): errors.CranewindError {
  return new errors.NotReadyError(`${table.holder || "nobody"} holds the duties under fence ${table.fence}`, "wait until its lease ends");
}
