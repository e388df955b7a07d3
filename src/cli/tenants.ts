/**
 * `cranewind tenants`: what each tenant uses of its limit (design/tenants 8). Each control node holds a part of every
 * quota; the rows sum over those that reply, and say how many did.
 */
import type * as quotaPart from "../tenants/quota-part.js";
import type * as quotaUse from "../tenants/quota-use.js";
import type * as schema from "../wire/schema.js";
import type * as types from "../wire/types.js";
import * as timers from "../runtime/timers.js";
import * as commands from "./commands.js";

const WATCH_MS = 2000;
const PERCENT = 100;

/** What a control node's status tells of quotas. */
export interface QuotaStatus {
  isGranting: boolean;
  limits: Record<string, quotaPart.Limit>;
  used: Record<string, quotaUse.Use>;
}

/** The parts of a control node's status that are read here. */
export interface OwnerStatus {
  node: schema.NodeInfo;
  quotas?: QuotaStatus;
}

/** A row of the output; with --json these names are printed. */
export interface Row {
  tenant: string;
  /** Requests a second; null: no limit is configured. */
  rate_per_s: number | null;
  burst: number | null;
  used_per_s: number;
  denied_per_s: number;
  granted: number;
  denied: number;
  /** Requests a second by the region of the owner that granted them. */
  by_region: Record<string, number>;
}

function rounded(value: number): number {
  return Math.round(value * 10) / 10;
}

/** One row a tenant that has a limit or was counted, by name. */
export function rowsOf(statuses: readonly OwnerStatus[]): Row[] {
  const rows = new Map<string, Row>();
  function rowOf(tenant: string): Row {
    let row = rows.get(tenant);
    if (!row) {
      row = { tenant, rate_per_s: null, burst: null, used_per_s: 0, denied_per_s: 0, granted: 0, denied: 0, by_region: {} };
      rows.set(tenant, row);
    }
    return row;
  }
  for (const { node, quotas } of statuses) {
    if (!quotas) continue;
    for (const [tenant, { perS, burst }] of Object.entries(quotas.limits)) Object.assign(rowOf(tenant), { rate_per_s: perS, burst });
    for (const [tenant, use] of Object.entries(quotas.used)) add(rowOf(tenant), node.region, use);
  }
  return [...rows.values()].sort((left, right) => (left.tenant < right.tenant ? -1 : 1));
}

function add(row: Row, region: string, use: quotaUse.Use): void {
  row.used_per_s = rounded(row.used_per_s + use.granted_per_s);
  row.denied_per_s = rounded(row.denied_per_s + use.denied_per_s);
  row.granted += use.granted;
  row.denied += use.denied;
  row.by_region[region] = rounded((row.by_region[region] ?? 0) + use.granted_per_s);
}

/** The rows as lines for people. */
export function lines(rows: readonly Row[], statuses: readonly OwnerStatus[], asked: number): string[] {
  const granting = statuses.filter(({ quotas }) => quotas?.isGranting).length;
  const made = [`owners    ${statuses.length} of ${asked} control nodes replied, ${granting} grant`];
  for (const row of rows) {
    const share = row.rate_per_s
      ? `, ${Math.round((PERCENT * row.used_per_s) / row.rate_per_s)} % of ${row.rate_per_s} + ${row.burst}`
      : "";
    const regions = Object.entries(row.by_region).map(([region, perS]) => `${region} ${perS}`);
    made.push(
      `tenant    ${row.tenant}: ${row.used_per_s}/s${share}, denied ${row.denied_per_s}/s; ` +
        `${row.granted} granted, ${row.denied} denied since the owners' starts${regions.length > 0 ? ` (${regions.join(", ")})` : ""}`,
    );
  }
  return rows.length > 0 ? made : [...made, "no tenant has a limit; see rate_per_s in docs/configuration.md"];
}

/** What the command was asked for. */
export interface TenantsOptions {
  isJson: boolean;
  /** Prints again and again until it is stopped. */
  isWatching: boolean;
}

async function printOnce(clock: types.Clock, output: commands.Output, controls: readonly string[], isJson: boolean): Promise<number> {
  const noAddress = "no address was given; name all control nodes with --control HOST:PORT,...";
  const statuses = await commands.statusesOf<OwnerStatus>(clock, output, controls, noAddress);
  if (typeof statuses === "number") return statuses;
  const rows = rowsOf(statuses);
  if (isJson) output.line(JSON.stringify(rows));
  else for (const line of lines(rows, statuses, controls.length)) output.line(line);
  return commands.EXIT.ok;
}

/** Asks all control nodes; 3 when none replies. */
export async function tenants(
  clock: types.Clock,
  output: commands.Output,
  controls: readonly string[],
  options: TenantsOptions,
): Promise<number> {
  for (;;) {
    const code = await printOnce(clock, output, controls, options.isJson);
    if (!options.isWatching || code !== commands.EXIT.ok) return code;
    await timers.sleep(clock, WATCH_MS);
  }
}
