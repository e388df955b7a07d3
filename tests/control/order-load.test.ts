// Orders at several control nodes at once: passed on to one proposer, whatever becomes of it (design/hardening/2-orders 5).
import * as log from "../../src/runtime/log.js";
import * as features from "../../src/wire/features.js";
import type * as schema from "../../src/wire/schema.js";
import * as orderLoad from "../sim/order-load.js";
import * as systems from "../sim/system.js";

/** ORDER_LOAD plays the whole table of the page, a minute each. */
const IS_WHOLE = process.env["ORDER_LOAD"] !== undefined;
const SEEDS = IS_WHOLE ? [101, 202, 303] : [101, 202];
const PLAY_MS = IS_WHOLE ? 60_000 : 12_000;
/** At most so many of the orders have no answer within two seconds. */
const MAX_LATE_SHARE = 0.001;

/** Proposers, milliseconds of a sync, the proposer that stands still again and again, and the least orders a second. */
type Row = [proposers: number, syncMs: number, frozen: string | undefined, leastPerSecond: number];
const SHORT: Row[] = [
  [3, 20, undefined, 20],
  [5, 60, undefined, 10],
  [3, 20, "a", 10],
];
const WHOLE: Row[] = [];
for (const frozen of [undefined, "a"])
  for (const syncMs of [5, 20, 60]) for (const proposers of frozen ? [1, 3] : [1, 3, 5]) WHOLE.push([proposers, syncMs, frozen, 0]);

test.each(IS_WHOLE ? WHOLE : SHORT)(
  "%i nodes are asked at once, disks of %i ms, lost now and then: %s",
  async (proposers, syncMs, frozen, leastPerSecond) => {
    let orders = 0;
    let late = 0;
    for (const seed of SEEDS) {
      const pace = await orderLoad.measure({ seed, proposers, syncMs, callers: 8, frozen, playMs: PLAY_MS });
      orders += pace.orders;
      late += pace.late;
      const figures = `${pace.perSecond.toFixed(1)} a second, median ${pace.medianMs.toFixed(0)}, p99 ${pace.p99Ms.toFixed(0)}`;
      process.stderr.write(`seed ${seed}: ${figures}, longest ${pace.longestMs.toFixed(0)} ms, ${pace.late} of ${pace.orders} late\n`);
      expect(pace.perSecond).toBeGreaterThan(leastPerSecond);
    }
    if (!IS_WHOLE) expect(late).toBeLessThanOrEqual(Math.ceil(orders * MAX_LATE_SHARE));
  },
  1_800_000,
);

function counted(name: string): number {
  return log.counted().get(name) ?? 0;
}

test("a sole proposer keeps its own orders; while others propose too, they are forwarded to the first connected voter", async () => {
  const system = await systems.start();
  const before = counted("operator.forwarded");
  await systems.take(system, "b", "z4");
  expect(counted("operator.forwarded")).toBe(before);
  await systems.contend(system);
  const { told } = await systems.answered(system, systems.get(system, "c").evacuate("z5"));
  expect([told.status, told.json]).toEqual([200, { evacuations: ["z0", "z1", "z4", "z5"] }]);
  expect(counted("operator.forwarded")).toBeGreaterThan(before);
});

test("a rejection by the common proposer is passed to the caller unchanged", async () => {
  const system = await systems.start();
  await systems.contend(system);
  const before = counted("operator.forwarded");
  const { told } = await systems.answered(system, systems.get(system, "c").call("POST", "/-/Evacuations.Start/nowhere"));
  expect([told.status, counted("operator.forwarded")]).toEqual([404, before + 1]);
});

test("when the common proposer goes silent, the order is proposed where it arrived, and so are the next ones", async () => {
  const system = await systems.start();
  await systems.contend(system);
  const before = counted("operator.forward_failed");
  system.network.frozen.add("a");
  const { told, ms } = await systems.answered(system, systems.get(system, "c").evacuate("z6"));
  expect([told.status, counted("operator.forward_failed")]).toEqual([200, before + 1]);
  expect(ms).toBeLessThan(1300);
  const next = await systems.answered(system, systems.get(system, "c").evacuate("z7"));
  expect([next.told.status, counted("operator.forward_failed")]).toEqual([200, before + 1]);
  expect(next.ms).toBeLessThan(500);
});

test("no orders are forwarded to a node of a build without the feature", () => {
  const beat = { isReady: true, epoch: 0, isSettled: true, index: 0, members: 1, silentRegions: [] } as unknown as schema.Heartbeat;
  expect(features.hasFeature(beat, features.FORWARDED_ORDERS)).toBe(false);
  expect(features.hasFeature({ ...beat, index: features.OWN_FEATURES }, features.FORWARDED_ORDERS)).toBe(true);
});
