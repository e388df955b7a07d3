// Overload days played by the simulator: what is admitted is served in time, what is denied is told at once (design/admission 7).
import * as fs from "node:fs";
import * as capacity from "../../src/cli/capacity.js";
import * as commands from "../../src/cli/commands.js";
import * as types from "../../src/wire/types.js";
import type * as schema from "../../src/wire/schema.js";
import * as outcome from "../../src/whatif/outcome.js";
import * as overload from "../../src/whatif/overload.js";
import * as scenarios from "../../src/whatif/scenario.js";

type Raw = Record<string, unknown>;
const AFTERNOON = JSON.parse(fs.readFileSync("examples/busy-afternoon.json", "utf8")) as Raw;
const NIGHT = JSON.parse(fs.readFileSync("examples/contest-night.json", "utf8")) as Raw;

function scenarioOf(raw: Raw, more: Raw = {}): scenarios.Scenario {
  const scenario = scenarios.parse(Buffer.from(JSON.stringify({ ...raw, ...more })));
  if (scenario.isErr) throw scenario.error;
  return scenario.value;
}

function rowOf(rows: outcome.Row[], kind: string, admission: string): outcome.Row {
  return rows.find((row) => row.kind === kind && row.admission === admission)!;
}

function sum(rows: outcome.Row[], field: "admitted" | "too_late" | "lost"): number {
  return rows.reduce((total, row) => total + row[field], 0);
}

test("a busy afternoon with a slowed runner: nothing is lost, every kind is worth more, 99 % of the admitted are done", () => {
  const rows = outcome.rows(scenarioOf(AFTERNOON));
  expect(sum(rows, "lost")).toBe(0);
  for (const kind of ["drawing-check", "price-draft"]) {
    const [off, on] = [rowOf(rows, kind, "off"), rowOf(rows, kind, "on")];
    expect(on.worth).toBeGreaterThan(off.worth);
    expect(on.refusal_worst_ms).toBeLessThanOrEqual(300);
    expect(on.largest).toBeGreaterThanOrEqual(on.served / 2);
    expect(on.large).toBeGreaterThanOrEqual(on.served / 2);
    expect(on.unused).toBeLessThan(0.1);
  }
  const served = (admission: string) =>
    rows.filter((row) => row.admission === admission).reduce((total, row) => total + row.served * row.asked, 0);
  expect(served("on")).toBeGreaterThan(served("off") * 1.05);
  expect(rowOf(rows, "drawing-check", "on").served).toBeGreaterThanOrEqual(0.985);
  const admitted = rows.filter((row) => row.admission === "on");
  expect(sum(admitted, "too_late")).toBeLessThanOrEqual(sum(admitted, "admitted") / 100);
  expect(rowOf(rows, "price-draft", "on").too_late).toBeLessThan(rowOf(rows, "price-draft", "off").too_late / 10);
});

test("an afternoon of surges alone: 99 % of the admitted are done by their deadline", () => {
  const scenario = scenarioOf(AFTERNOON, { faults: [] });
  const asked = new overload.OverloadDay(scenario, true).play();
  const rows = scenario.kinds.map((kind) =>
    outcome.buildRow(
      kind.name,
      true,
      asked.filter((item) => item.kind === kind.name),
    ),
  );
  expect(sum(rows, "too_late")).toBeLessThanOrEqual(sum(rows, "admitted") / 100);
  expect(asked.filter((item) => item.outcome === "open")).toEqual([]);
  // Every refusal is told at once; Retry-After does not send the refused back together.
  expect(Math.max(...asked.flatMap((item) => item.refusalLatenciesMs))).toBeLessThanOrEqual(200);
  expect(new Set(asked.flatMap((item) => item.retryAfterS).map((value) => value.toFixed(2))).size).toBeGreaterThan(50);
  // Sessions that keep asking are served at last.
  const asking = new Map<string, boolean[]>();
  for (const item of asked) asking.set(item.session, [...(asking.get(item.session) ?? []), item.value > 0]);
  const starved = [...asking.values()].filter((list) => list.length >= 4 && !list.includes(true));
  expect(starved).toEqual([]);
});

test("a contest night with a slowed router: 99 % of the admitted are in time, refusals wait for its loop alone", () => {
  const scenario = scenarioOf(NIGHT);
  const asked = new overload.OverloadDay(scenario, true).play();
  const rows = scenario.kinds.map((kind) =>
    outcome.buildRow(
      kind.name,
      true,
      asked.filter((item) => item.kind === kind.name),
    ),
  );
  expect(sum(rows, "lost")).toBe(0);
  expect(sum(rows, "too_late")).toBeLessThanOrEqual(sum(rows, "admitted") / 100);
  for (const row of rows) expect(row.refusal_p50_ms).toBeLessThanOrEqual(5);
});

test("a day without surges beyond the room denies nobody", () => {
  const scenario = scenarioOf(AFTERNOON, { faults: [], length_s: 40, surges: [{ at_s: 10, for_s: 10, kind: "price-draft", factor: 1.2 }] });
  const asked = new overload.OverloadDay(scenario, true).play();
  expect(asked.flatMap((item) => item.refusalLatenciesMs)).toEqual([]);
  expect(asked.filter((item) => item.outcome !== "in_aim").length).toBeLessThanOrEqual(asked.length / 100);
});

test("the same overload day plays the same", () => {
  const scenario = scenarioOf(AFTERNOON, { length_s: 45 });
  const [one, two] = [0, 1].map(() => new overload.OverloadDay(scenario, true).play());
  expect(one).toEqual(two);
});

test.each<[Raw, RegExp]>([
  [{ surges: [{ at_s: 1, for_s: 1, kind: "nothing", factor: 2 }] }, /unknown kind nothing; name one/],
  [{ faults: [{ at_s: 1, for_s: 1, kind: "drain", region: "upland" }] }, /drain is not played in a day with surges; use slow_runner/],
])("an overload scenario %j is denied with the remedy", (more, message) => {
  const scenario = scenarios.parse(Buffer.from(JSON.stringify({ ...AFTERNOON, ...more })));
  expect(scenario.isErr && scenario.error.message).toMatch(message);
});

test("capacity: rooms from a control node, requests a second from a router", () => {
  const instances: schema.Instance[] = ["i-1", "i-2", "i-3"].map((id) => ({
    id: types.small(id),
    service: "s",
    address: "127.0.0.1:1",
    zone: "z",
    capacity: 10,
    isDraining: id === "i-3",
    coldMs: 0,
    leavesMs: -1,
  }));
  const reports = instances.map(({ id }, index) => ({
    id,
    isSpeaking: true,
    waiting: 0,
    active: 4 + index,
    kvUsed: 2000,
    kvCapacity: 5000,
  }));
  const node = {} as schema.NodeInfo;
  const kinds = [
    { route: "draft", service: "s", count: 9, tokens: 600, unread: 400, heldMs: 1000 },
    { route: "else", service: "t", count: 1, tokens: 1, unread: 1, heldMs: 1 },
  ];
  const rows = capacity.rowsOf([
    { node, cells: { instances, reports: [{ region: "r", reports }] } },
    { node, admission: { rate: 40, cells: [], kinds } },
  ]);
  expect(rows).toMatchObject([
    {
      region: "r",
      service: "s",
      room: { runners: 2, places: 20, freePlaces: 11, freeTokens: 6000 },
      kinds: [{ route: "draft", requests_per_s: 10 }],
    },
  ]);
  expect(capacity.lines(rows)).toEqual([
    expect.stringMatching(/^room +r s: 11 of 20 places, 6000 of 10000 tokens/),
    "more      r s draft: 10 requests/s",
  ]);
  expect(capacity.lines([])[0]).toMatch(/no runner reports; ask a control node/);
});

test("whatif prints a row a kind, without and with admission", () => {
  const lines: string[] = [];
  const file = "target/overload-test.json";
  fs.writeFileSync(file, JSON.stringify({ ...AFTERNOON, length_s: 35 }));
  expect(commands.whatIf({ line: (text: string) => lines.push(text), failure: (text: string) => lines.push(text) }, file, false)).toBe(0);
  fs.rmSync(file);
  expect(lines).toHaveLength(5);
  expect(lines[0]).toMatch(/^kind +admission +asked +admitted +in_aim/);
});
