// How soon the core is in touch with itself once regions that lost each other are back (design/hardening/1-cut-off).
import * as systems from "../sim/system.js";

const SEEDS = Array.from({ length: 12 }, (_, index) => 500 + index);
const NAMES = ["a", "b", "c", "d", "e"];
const CUT_MS = 7000;
const STEP_MS = 10;
/** A dial that was lost in the cut, a pause, and the way there and back. */
const MAX_MS = 800;
const MAX_MEAN_MS = 500;

/** Cuts each node from each other for a while; how long after the cut all are confirmed again. */
async function healed(seed: number): Promise<number> {
  const system = await systems.start({ seed, names: NAMES, withRouters: false });
  const { clock, network } = system;
  network.losesDials = true;
  for (const [index, name] of NAMES.entries()) network.cut([name], NAMES.slice(index + 1));
  await clock.play(CUT_MS);
  const nodes = [...system.controls.values()];
  expect(nodes.some((node) => node.contact.isConfirmed())).toBe(false);
  network.cuts.clear();
  const from = clock.now();
  while (!nodes.every((node) => node.contact.isConfirmed()) && clock.now() - from < CUT_MS) await clock.play(STEP_MS);
  return clock.now() - from;
}

test("all control nodes are confirmed again soon after each was cut off from each", async () => {
  const took: number[] = [];
  for (const seed of SEEDS) took.push(await healed(seed));
  const sum = took.reduce((left, right) => left + right, 0);
  process.stderr.write(`all confirmed after ${took.join(", ")} ms\n`);
  expect(Math.max(...took)).toBeLessThan(MAX_MS);
  expect(sum / took.length).toBeLessThan(MAX_MEAN_MS);
});
