// Calls that read at a majority again and again, beside orders of others (design/hardening/2-orders 6).
import * as orderLoad from "../sim/order-load.js";
import * as systems from "../sim/system.js";

const READERS = 2;
const ORDERS = 20;
const ZONES = 8;
/** Milliseconds of a sync, and the nodes that are read at. */
const ROWS: [syncMs: number, readAt: string[]][] = [];
for (const syncMs of [5, 20, 60]) for (const readAt of [["c"], ["b", "c"]]) ROWS.push([syncMs, readAt]);
/** As the aim has it for orders while several nodes propose. */
const MAX_MS = orderLoad.ANSWER_MS;

/** Reads one time after the other, without a pause, until `isOver`. */
async function readOn(system: systems.System, name: string, isOver: () => boolean): Promise<void> {
  const node = systems.get(system, name);
  while (!isOver()) await node.call("GET", "/-/Config.Describe");
}

test.each(ROWS)("disks of %i ms, continuous reads at %s: another node's orders do not wait for them", async (syncMs, readAt) => {
  const system = await systems.start({ withRouters: false });
  for (const node of system.controls.values()) node.syncMs = syncMs;
  let isOver = false;
  for (const name of readAt) for (let reader = 0; reader < READERS; reader += 1) void readOn(system, name, () => isOver);
  const took: number[] = [];
  for (let order = 0; order < ORDERS; order += 1) {
    const { told, ms } = await systems.answered(system, systems.get(system, "a").evacuate(`z${order % ZONES}`));
    expect(told.status).toBe(200);
    took.push(ms);
  }
  isOver = true;
  process.stderr.write(`${syncMs} ms, ${readAt.join()}: longest ${Math.max(...took)}\n`);
  expect(Math.max(...took)).toBeLessThan(MAX_MS);
});

test("reads concurrent with orders are answered too", async () => {
  const system = await systems.start({ withRouters: false });
  let isOver = false;
  void (async function order(): Promise<void> {
    for (let number = 0; !isOver; number += 1) await systems.get(system, "a").evacuate(`z${number % ZONES}`);
  })();
  for (let read = 0; read < ORDERS; read += 1) {
    const { told, ms } = await systems.answered(system, systems.get(system, "c").call("GET", "/-/Config.Describe"));
    expect([200, 404]).toContain(told.status);
    expect(ms).toBeLessThan(MAX_MS);
  }
  isOver = true;
});
