// The experiment tool: what it refuses, what it writes, and a small run that ends by itself (design/experiment).
import * as fs from "node:fs";
import * as losses from "../../src/experiment/losses.js";
import * as experiment from "../../src/experiment/options.js";
import * as panels from "../../src/experiment/panels.js";
import * as plot from "../../src/plots/plot.js";
import * as rows from "../../src/experiment/rows.js";
import * as sweep from "../../src/experiment/sweep.js";
import * as vitals from "../../src/runtime/vitals.js";
import * as cli from "../sim/cli.js";
import { options } from "../sim/experiment.js";

const BIG: experiment.Machine = { memoryMb: 64_000, freeMb: 64_000 };

const WRONG: [object, RegExp][] = [
  [{ routers: 0 }, /^routers 0 is out of range; give 1 to 5000$/],
  [{ routers: 2.5 }, /^experiment field routers: .*; see docs\/experiment.md/],
  [{ runners: 10_001 }, /^runners 10001 is out of range; give 1 to 10000$/],
  [{ routes: -1 }, /^routes -1 is out of range/],
  [{ controls: 17 }, /^controls 17 is out of range; give 1 to 16$/],
  [{ regionsUsed: 4 }, /^regionsUsed 4 is out of range; give 1 to 3$/],
  [{ changesPerS: -1 }, /^changesPerS -1 is out of range; give 0 to 50$/],
  [{ changesPerS: Number.NaN }, /^experiment field changesPerS: /],
  [{ seconds: 0.5 }, /^seconds 0.5 is out of range; give 1 to 120$/],
  [{ seconds: 3600 }, /^seconds 3600 is out of range/],
  [{ seed: -1 }, /^seed -1 is out of range/],
  [{ loseControl: "yes" }, /^experiment field loseControl: /],
  [{ clients: 5 }, /^experiment field clients: /],
];

test.each(WRONG)("%j is refused with its remedy", (more, message) => {
  const checked = experiment.check({ ...experiment.DEFAULTS, ...more });
  expect(checked.isErr && checked.error.message).toMatch(message);
});

const COMMANDS: [string[], RegExp][] = [
  [[], /--out.*run cranewind --help/],
  [["--out", "x", "--routers", "many"], /routers.*docs\/experiment.md/],
  [["--out", "x", "--routers", ""], /routers.*docs\/experiment.md/],
  [["--out", "x", "--seconds", "0"], /seconds 0 is out of range; give 1 to 120/],
  [["--out", "x", "--routers", "5000", "--workers", "400"], /would start 40\d processes, the bound is 300; give fewer/],
  [["chain", "--out", "x", "--times", "many"], /times many is out of range; give 10 to 100000/],
  [["sweep", "--out", "x"], /--plan.*run cranewind --help/],
  [["sweep", "--plan", "no-such-file", "--out", "x"], /cannot read no-such-file.*name a readable plan/],
  [["sweep", "--plan", "package.json", "--out", "x"], /plan field .*docs\/experiment.md/],
];

test.each(COMMANDS)("experiment %j ends with one line", (words, message) => {
  const done = cli.run("experiment", ...words);
  expect([done.code, done.lines.length, done.out]).toEqual([2, 1, ""]);
  expect(done.lines[0]).toMatch(message);
  expect(fs.existsSync("x")).toBe(false);
});

test("what would crowd the machine is refused, at the bound and not before", () => {
  expect(experiment.admit(options(), BIG).isOk).toBe(true);
  const needMb = Math.ceil(experiment.memoryMbOf(options()));
  expect(experiment.admit(options(), { memoryMb: 2 * needMb, freeMb: needMb }).isOk).toBe(true);
  const half = experiment.admit(options(), { memoryMb: 2 * needMb - 2, freeMb: 64_000 });
  expect(half.isErr && half.error.message).toMatch(/half of the machine.*give fewer --routers/);
  expect(experiment.admit(options(), { memoryMb: 64_000, freeMb: needMb - 1 }).isErr).toBe(true);
  expect(experiment.processesOf(options({ routers: 293, workers: 293 }))).toBe(300);
  expect(experiment.admit(options({ routers: 293, workers: 293 }), BIG).isOk).toBe(true);
  const many = experiment.admit(options({ routers: 294, workers: 294 }), BIG);
  expect(many.isErr && many.error.message).toMatch(/301 processes, the bound is 300/);
});

test("a plan names all its places, and one bad place refuses the whole", () => {
  const plan = JSON.parse(fs.readFileSync("docs/capacity/plan.json", "utf8")) as { sweeps: { values: number[] }[] };
  const good = sweep.pointsOf(plan);
  expect(good.isOk && good.value.length).toBe(plan.sweeps.reduce((sum, sweep) => sum + sweep.values.length, 0));
  plan.sweeps[3].values.push(51);
  const bad = sweep.pointsOf(plan);
  expect(bad.isErr && bad.error.message).toBe("changesPerS 51 is out of range; give 0 to 50");
});

test("slopes are the least squares of the means", () => {
  expect(
    rows.slope([
      [1, 5],
      [2, 7],
      [4, 11],
    ]),
  ).toEqual({ slope: 2, intercept: 3, rSquared: 1 });
  expect(
    rows.slope([
      [1, 5],
      [1, 7],
    ]),
  ).toBeNull();
  const made = [
    [10, 1],
    [10, 3],
    [20, 4],
  ].map(([routers, cpuPercent]) => ({ ...nodeRow(), routers: routers, cpuPercent: cpuPercent }));
  const found = rows.slopes("s", "routers", made).find((row) => row.measure === "cpuPercent");
  expect(found).toMatchObject({ sweep: "s", role: "control", points: 2, slope: expect.closeTo(0.2), intercept: expect.closeTo(0) });
});

function nodeRow(): rows.NodeRow {
  return {
    ...rows.pointOf("s", options()),
    role: "control",
    node: "control-1",
    sharedBy: 1,
    seconds: 2,
    cpuPercent: 1.2345678,
    memoryMb: 60,
    loopP50Ms: 0,
    loopP99Ms: 1,
    loopWorstMs: 2,
    descriptors: 40,
    toldBytesPerS: 100,
    heardBytesPerS: 90,
    toldFramesPerS: 4,
    heardFramesPerS: 3,
    reportsReadPerS: Number.NaN,
  };
}

test("a table has one header, one line a row, and nothing where nothing was measured", () => {
  const lines = rows.text([nodeRow(), nodeRow()]).trimEnd().split("\n");
  expect(lines).toHaveLength(3);
  expect(lines[0]).toMatch(/^sweep,routers,runners,routes,tenants,controls,.*,cpuPercent,.*,reportsReadPerS$/);
  expect(lines[1]).toMatch(/^s,15,50,50,20,5,1,0,3,1,control,control-1,1,2,1.23457,.*,$/);
  expect(rows.text([])).toBe("");
});

test("a lost control node: each follower's first move to another, and the most dials at once", () => {
  const account = { atMs: 0, vitals: vitals.vitals(), links: [], revisions: [] };
  const accounts = [
    {
      ...account,
      dials: [
        [19, 5],
        [20, 2],
        [30, 1],
      ] as [number, number][],
      followedChanges: [
        { router: 0, from: "a", to: "b", atMs: 990 },
        { router: 1, from: "a", to: null, atMs: 1010 },
        { router: 1, from: null, to: "b", atMs: 1030 },
        { router: 1, from: "b", to: "c", atMs: 1500 },
        { router: 2, from: "b", to: "c", atMs: 1040 },
      ],
    },
    { ...account, dials: [[30, 3]] as [number, number][], followedChanges: [{ router: 0, from: "a", to: "c", atMs: 1010 }] },
  ];
  expect(losses.lossRow(rows.pointOf("s", options()), "killed", "a", 1000, 2, accounts)).toMatchObject({
    manner: "killed",
    followers: 2,
    moved: 2,
    movedP50Ms: 20,
    movedWorstMs: 30,
    dials: 6,
    mostDialsIn50Ms: 4,
  });
});

test("a sheet leaves out panels without points", () => {
  const sheet = plot.sheet(panels.panelsOf("routers", { nodes: [nodeRow()], links: [], changes: [], losses: [] }), "routers") as {
    concat: unknown[];
  };
  expect(sheet.concat).toHaveLength(3);
});

test("vitals are those of this process, and the loop's delay is told from the second asking on", () => {
  const before = vitals.vitals();
  const after = vitals.vitals();
  expect(after.cpuMs).toBeGreaterThanOrEqual(before.cpuMs);
  expect(after.memoryMb).toBeGreaterThan(10);
  expect(before.loopWorstMs).toBe(0);
  for (const value of Object.values(after)) expect(Number.isFinite(value)).toBe(true);
});
