// Sessions over several routers through drain, failback and loss, played by the simulator (design 7, 11.2).
import * as fs from "node:fs";
import * as commands from "../../src/cli/commands.js";
import * as play from "../../src/whatif/play.js";
import * as scenarios from "../../src/whatif/scenario.js";
import * as table from "../../src/whatif/table.js";
import * as plannedClock from "../../src/whatif/planned-clock.js";

const EVENING = JSON.parse(fs.readFileSync("examples/evening.json", "utf8")) as Record<string, unknown>;

function played(more: Record<string, unknown> = {}): table.Row[] {
  const scenario = scenarios.parse(Buffer.from(JSON.stringify({ ...EVENING, ...more })));
  if (scenario.isErr) throw scenario.error;
  return table.rows(new play.Day(scenario.value).play());
}

function rowOf(rows: table.Row[], kind: string, phase: string, turns: string): table.Row {
  const row = rows.find((item) => item.kind === kind && item.phase === phase && item.turns === turns);
  if (!row) throw new Error(`no row ${kind} ${phase} ${turns}`);
  return row;
}

test("long sessions: later turns stay where they are kept, move once at a drain, and are as quick afterwards", () => {
  const rows = played();
  const [before, during, after] = ["before", "during", "after"].map((phase) => rowOf(rows, "review", phase, "later"));
  expect(before.keptPercent).toBeGreaterThanOrEqual(98);
  expect(before.moved).toBeLessThanOrEqual(before.count * 0.02);
  // 60 sessions: those of the drained and of the lost runners move once, and settle.
  expect(during.moved).toBeLessThanOrEqual(60);
  expect(during.keptPercent).toBeGreaterThanOrEqual(80);
  expect(after.keptPercent).toBeGreaterThanOrEqual(95);
  expect(after.p50).toBeLessThanOrEqual(before.p50 * 1.2);
  for (const row of rows) expect(row.denied).toBe(0);
});

test("a returning region does not pull sessions that settled elsewhere again and again", () => {
  const rows = played({ faults: [{ at_s: 30, for_s: 15, kind: "lose_region", region: "north" }] });
  const after = rowOf(rows, "review", "after", "later");
  expect(after.moved).toBeLessThanOrEqual(60);
  expect(after.keptPercent).toBeGreaterThanOrEqual(90);
});

test("homes bind in the simulator too: with both homes drained a kind with homes is denied, the other goes on", () => {
  const faults = ["north", "south"].map((region) => ({ at_s: 30, for_s: 20, kind: "drain", region }));
  const rows = played({ faults });
  expect(rowOf(rows, "draft", "during", "later").denied).toBeGreaterThan(100);
  expect(rowOf(rows, "review", "during", "later").denied).toBe(0);
});

test("the same day plays the same", () => {
  expect(played()).toEqual(played());
});

test.each([
  [{ regions: [] }, /regions/],
  [{ length_s: 0 }, /length_s/],
  [{ kinds: [{ name: "x" }] }, /kinds/],
  [{ faults: [{ at_s: 1, for_s: 1, kind: "drain", region: "nowhere" }] }, /unknown region nowhere; name one/],
  [{ extra: 1 }, /extra/],
])("scenario %j is denied with the field", (more, message) => {
  const scenario = scenarios.parse(Buffer.from(JSON.stringify({ ...EVENING, ...more })));
  expect(scenario.isErr && scenario.error.message).toMatch(message);
});

test("the planned clock plays in order and leaves out what was stopped", () => {
  const world = new plannedClock.PlannedClock(3);
  const seen: number[] = [];
  const ticks = [50, 10, 30, 20, 40, 10].map((ms, index) => world.schedule(ms, () => seen.push(index)));
  ticks[2].stop();
  world.play(45);
  expect([seen, world.now()]).toEqual([[1, 5, 3, 4], 45]);
});

test("the command prints a row a phase", () => {
  const lines: string[] = [];
  const output = { line: (text: string) => lines.push(text), failure: (text: string) => lines.push(text) };
  expect(commands.whatIf(output, "examples/evening.json", false)).toBe(0);
  expect(lines[0]).toMatch(/^kind +phase +turns/);
  expect(commands.whatIf(output, "package.json", false)).toBe(1);
});
