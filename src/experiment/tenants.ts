/** What tenants cost: a router the check of a key, an owner a grant, the feed an item (docs/experiment.md). */
import * as configItems from "../config/config-items.js";
import * as registerValue from "../register/register-value.js";
import * as tenant from "../tenants/tenant.js";
import * as quotaOwner from "../tenants/quota-owner.js";
import type * as quotaPart from "../tenants/quota-part.js";
import * as quotaTenure from "../tenants/quota-tenure.js";
import type * as schema from "../wire/schema.js";
import * as tenantSchema from "../wire/tenant-schema.js";
import * as types from "../wire/types.js";

/** The last: the size that the project builds towards. */
const COUNTS = [71, 1000, 4200];
const WARM_TIMES = 2000;
const MICROSECONDS = 1000;
const MEGA = 1024 * 1024;
const BOUNDS: quotaPart.QuotaBounds = { quota_window_s: 5, quota_overshoot: 0.1, quota_tolerance: 20 };

/** One number of tenants, each with two keys. Microseconds and milliseconds are of the processor, by the mean. */
export interface TenantRow {
  tenants: number;
  times: number;
  /** A router finds the tenant of a key. */
  keyCheckUs: number;
  /** An owner grants one unit, frames not counted. */
  grantUs: number;
  askBytes: number;
  replyBytes: number;
  /** An item of the feed, unpacked. */
  itemBytes: number;
  /** A control node makes all items of a first configuration, and those of one with one other key. */
  firstSplitMs: number;
  nextSplitMs: number;
  /** Heap of a router's table. */
  tableMb: number;
}

interface Configured {
  name: string;
  api_keys: string[];
  rate_per_s: number;
  burst: number;
}

function configured(count: number, generation: number): Configured[] {
  return Array.from({ length: count }, (_item, index) => ({
    name: `tenant-${index}`,
    api_keys: [`key-${index}-first-${index === 0 ? generation : 0}`, `key-${index}-second`],
    rate_per_s: 1e9,
    burst: 1e9,
  }));
}

function valueOf(list: Configured[]): schema.Value {
  const text = Buffer.from(JSON.stringify({ revision: 1, routes: [], services: [], tenants: list }));
  return { ...registerValue.initialValue([]), config: registerValue.packText(text), revision: 1 };
}

function timed(run: () => void): number {
  const startedAt = process.hrtime.bigint();
  run();
  return Number(process.hrtime.bigint() - startedAt) / MICROSECONDS;
}

function meanOf(times: number, run: (index: number) => void): number {
  for (let index = 0; index < WARM_TIMES; index += 1) run(index);
  const took = timed(() => {
    for (let index = 0; index < times; index += 1) run(index);
  });
  return took / times;
}

/** An owner that always grants: fences are not what is measured. */
class OpenTenure extends quotaTenure.QuotaTenure {
  override isGranting(): boolean {
    return true;
  }
  override get slots(): number {
    return 1;
  }
  override get slot(): number {
    return 0;
  }
}

function grantUs(clock: types.Clock, list: Configured[], times: number): number {
  const owner = new quotaOwner.QuotaOwner(clock, "life", BOUNDS, new OpenTenure(clock, { fenceMs: 1, maxLeaseMs: 1 }));
  owner.setLimits(new Map(list.map(({ name, rate_per_s: perS, burst }) => [name, { perS, burst }])));
  return meanOf(times, (index) => {
    const tenant = list[index % list.length].name;
    owner.reply({ life: "life", takings: [{ tenant, wanted: 1, unused: [] }] }, types.NO_EPOCH);
  });
}

/** Times one number of tenants. */
export function measure(clock: types.Clock, count: number, times: number): TenantRow {
  const list = configured(count, 0);
  const splitter = new configItems.ConfigSplitter();
  let items: ReadonlyMap<string, Buffer> = new Map();
  const firstSplitMs = timed(() => (items = splitter.split(valueOf(list)))) / MICROSECONDS;
  const nextSplitMs = timed(() => splitter.split(valueOf(configured(count, 1)))) / MICROSECONDS;
  const heapBefore = process.memoryUsage().heapUsed;
  const table = new tenant.TenantTable();
  table.amend(new tenant.DigestCache().tenantsOf(list), []);
  const tableMb = Math.max(0, process.memoryUsage().heapUsed - heapBefore) / MEGA;
  const keyCheckUs = meanOf(times, (index) => table.find(list[index % count].api_keys[1]));
  const ask = { life: "0123456789ab", takings: [{ tenant: list[0].name, wanted: 1, unused: [] }] };
  const reply = { isGranting: true, isConfirmed: true, epoch: types.small<types.Epoch>(7), given: [{ amount: 1, id: 70_000, waitMs: 0 }] };
  return {
    tenants: count,
    times,
    keyCheckUs,
    grantUs: grantUs(clock, list, times),
    askBytes: tenantSchema.quotaRequest.toBuffer(ask).length,
    replyBytes: tenantSchema.quotaReply.toBuffer(reply).length,
    itemBytes: items.get("tenant:tenant-1")!.length,
    firstSplitMs,
    nextSplitMs,
    tableMb,
  };
}

/** All numbers of tenants. */
export function table(clock: types.Clock, times: number): TenantRow[] {
  return COUNTS.map((count) => measure(clock, count, times));
}
