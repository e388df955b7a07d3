// Scenarios: what operators and faults do, as fast-check draws and shrinks them.
import * as fc from "fast-check";
import type * as networks from "./network.js";

/** Nodes and orders are named by numbers, taken modulo how many there are when the command runs. */
export type Command =
  | { kind: "order"; node: number; isStale: boolean; isReplyLost: boolean }
  | { kind: "duel"; node: number; orders: number }
  | { kind: "burst"; node: number; orders: number }
  | { kind: "resend"; node: number; order: number }
  | { kind: "read"; node: number }
  | { kind: "crash"; node: number; ms: number }
  | { kind: "power"; slow: number; isAfterOrder: boolean; ms: number }
  | { kind: "freeze"; node: number; ms: number }
  | { kind: "isolate"; node: number; way: "in" | "out" | "both"; ms: number }
  | { kind: "cut"; node: number; other: number; ms: number }
  | { kind: "split"; side: number; ms: number }
  | { kind: "disk"; node: number; trouble: "stalled" | "failing" | "short"; isCrashed: boolean; ms: number }
  | { kind: "weather"; lost: number; doubled: number; late: number; ms: number }
  | {
      kind: "wipe";
      node: number;
      target: "any" | "joiner" | "voter";
      isPowerLost: boolean;
      slow: number;
      isAfterOrder: boolean;
      ms: number;
    }
  | { kind: "replace"; node: number; isPlanned: boolean }
  | { kind: "membership"; node: number; silent: number; withinMs: number }
  | { kind: "settle"; node: number; delayMs: number };

/** Commands that a machine or a link bears for a time. */
export type Fault = Extract<Command, { kind: "crash" | "freeze" | "isolate" | "cut" | "split" | "disk" | "replace" }>;

export interface Timed {
  /** Time from the command before, in milliseconds. */
  gapMs: number;
  command: Command;
}

export interface Scenario {
  /** Of the simulated clock, for delays, losses and the nodes' own chance. */
  seed: number;
  voters: 3 | 5;
  spares: number;
  /** Of the network until the first weather command ends. */
  weather: networks.Weather;
  commands: Timed[];
}

/** The first spare of three voters. */
const JOINER = 3;

const index = fc.nat({ max: 19 });
const shortMs = fc.oneof(fc.integer({ min: 5, max: 200 }), fc.integer({ min: 20, max: 4000 }));

function kind<K extends Command["kind"]>(name: K): fc.Arbitrary<K> {
  return fc.constant(name);
}

const order = fc.record({
  kind: kind("order"),
  node: index,
  isStale: fc.oneof({ weight: 5, arbitrary: fc.constant(false) }, { weight: 1, arbitrary: fc.constant(true) }),
  isReplyLost: fc.boolean(),
});
const duel = fc.record({ kind: kind("duel"), node: index, orders: fc.integer({ min: 2, max: 4 }) });
const burst = fc.record({ kind: kind("burst"), node: index, orders: fc.integer({ min: 2, max: 7 }) });
const resend = fc.record({ kind: kind("resend"), node: index, order: index });
const read = fc.record({ kind: kind("read"), node: index });
const crash = fc.record({ kind: kind("crash"), node: index, ms: shortMs });
const powerParts = { kind: kind("power"), slow: index, isAfterOrder: fc.boolean(), ms: shortMs };
const power = fc.record(powerParts);
const freeze = fc.record({ kind: kind("freeze"), node: index, ms: shortMs });
const isolate = fc.record({ kind: kind("isolate"), node: index, way: fc.constantFrom("in", "out", "both"), ms: shortMs });
const cut = fc.record({ kind: kind("cut"), node: index, other: index, ms: shortMs });
/** Each bit of the number puts a node on one side or the other. */
const splitParts = { kind: kind("split"), side: fc.nat({ max: 127 }), ms: shortMs };
const split = fc.record(splitParts);
const diskParts = {
  kind: kind("disk"),
  node: index,
  trouble: fc.constantFrom("stalled", "failing", "short"),
  isCrashed: fc.boolean(),
  ms: shortMs,
};
const disk = fc.record(diskParts);
const shares = {
  lost: fc.constantFrom(0, 0.05, 0.1, 0.2, 0.3),
  doubled: fc.constantFrom(0, 0.1, 0.3),
  late: fc.constantFrom(0, 0.05, 0.2),
};
const weather = fc.record({ kind: kind("weather"), ...shares, ms: fc.integer({ min: 500, max: 10_000 }) });
const wipeParts = {
  kind: kind("wipe"),
  node: index,
  target: fc.constantFrom("any", "joiner", "voter"),
  isPowerLost: fc.boolean(),
  slow: index,
  isAfterOrder: fc.boolean(),
  ms: fc.integer({ min: 100, max: 3000 }),
};
const wipe = fc.record(wipeParts);
const replace = fc.record({ kind: kind("replace"), node: index, isPlanned: fc.boolean() });
const membershipParts = { kind: kind("membership"), node: index, silent: index, withinMs: between(50, 4000) };
const membership = fc.record(membershipParts);
const settle = fc.record({ kind: kind("settle"), node: index, delayMs: fc.integer({ min: 0, max: 4000 }) });

type Weights = Record<Command["kind"], number>;

/** Days with some of everything. */
const MIXED: Weights = {
  order: 10,
  duel: 6,
  burst: 1,
  resend: 4,
  read: 4,
  crash: 3,
  power: 1,
  freeze: 3,
  isolate: 3,
  cut: 2,
  split: 2,
  disk: 4,
  weather: 3,
  wipe: 5,
  replace: 2,
  membership: 4,
  settle: 4,
};
/** Days around changes of the voters: joint sets that few have accepted, late settles, joiners that are lost. */
const MEMBERSHIP: Weights = { ...MIXED, order: 4, duel: 4, resend: 1, disk: 1, crash: 2, wipe: 8, membership: 12, settle: 10, split: 6 };

function commandsOf(weights: Weights): fc.Arbitrary<Command> {
  const arbitraries: { [K in Command["kind"]]: fc.Arbitrary<Command> } = {
    order,
    duel,
    burst,
    resend,
    read,
    crash,
    power,
    freeze,
    isolate,
    cut,
    split,
    disk,
    weather,
    wipe,
    replace,
    membership,
    settle,
  };
  const kinds = Object.keys(weights) as Command["kind"][];
  return fc.oneof(...kinds.map(weigh));
  function weigh(name: Command["kind"]): fc.WeightedArbitrary<Command> {
    return { weight: weights[name], arbitrary: arbitraries[name] };
  }
}

const gapMs = fc.oneof(
  { weight: 6, arbitrary: fc.integer({ min: 0, max: 150 }) },
  { weight: 2, arbitrary: fc.integer({ min: 300, max: 2500 }) },
  { weight: 1, arbitrary: fc.integer({ min: 5000, max: 8000 }) },
);

function at(gap: fc.Arbitrary<number>, made: fc.Arbitrary<Command>): fc.Arbitrary<Timed> {
  return fc.record({ gapMs: gap, command: made });
}

function between(min: number, max: number): fc.Arbitrary<number> {
  return fc.integer({ min, max });
}

/** A joint set reaches few, then a settle reaches few, and both sides of a split take orders: any step may miss. */
function lateSettleAt(node: number): fc.Arbitrary<Timed[]> {
  const side = fc.constant((1 << node) | (1 << JOINER));
  const here = fc.constant(node);
  const joint = { ...membershipParts, node: here, silent: fc.constant((node + 1) % 3), withinMs: between(50, 300) };
  return fc.tuple(
    at(between(0, 2000), fc.record(joint)),
    at(between(30, 250), fc.record({ ...splitParts, side, ms: between(1300, 2500) })),
    at(between(1200, 2600), fc.record({ kind: kind("freeze"), node: fc.constant(JOINER), ms: between(20, 1500) })),
    at(between(0, 150), fc.record({ kind: kind("settle"), node: here, delayMs: fc.constant(0) })),
    at(between(30, 250), fc.record({ ...splitParts, side, ms: between(2500, 5000) })),
    at(between(0, 500), duel),
    at(between(500, 1500), duel),
  );
}

/** Around a bad disk: an order confirmed, all power lost at once, and the one other holder is slow to come back. */
function shortWriteAt(node: number): fc.Arbitrary<Timed[]> {
  const slow = fc.constant(node + 1);
  return fc.tuple(
    at(
      between(0, 500),
      fc.record({ ...diskParts, node: fc.constant(node), trouble: fc.constant("short" as const), ms: fc.constant(4000) }),
    ),
    at(between(0, 300), fc.record({ ...powerParts, slow, isAfterOrder: fc.constant(true), ms: between(1500, 4000) })),
    at(between(100, 600), duel),
    at(between(0, 600), read),
  );
}

/** An order confirmed, and at once a disk lost with the power of all others. */
function wipeAt(node: number): fc.Arbitrary<Timed[]> {
  const parts = { ...wipeParts, node: fc.constant(node), slow: fc.constant(node + 1), target: fc.constant("any" as const) };
  return fc.tuple(
    at(between(6000, 8000), fc.record({ ...parts, isAfterOrder: fc.constant(true), isPowerLost: fc.constant(true) })),
    at(between(100, 600), read),
    at(between(0, 400), duel),
  );
}

const plot: fc.Arbitrary<Timed[]> = fc
  .tuple(fc.constantFrom(lateSettleAt, shortWriteAt, wipeAt), fc.nat({ max: 2 }))
  .chain(([made, node]) => made(node));

/** Three voters and one spare, in fair weather: known dangers with chance in their times, among a few other commands. */
function plotted(): fc.Arbitrary<Scenario> {
  const single = at(gapMs, commandsOf(MIXED)).map((timed) => [timed]);
  return fc.record({
    seed: fc.integer({ min: 1, max: 0x7fffffff }),
    voters: fc.constant(3 as const),
    spares: fc.constant(1),
    weather: fc.constant({ lost: 0, doubled: 0, late: 0 }),
    commands: fc.tuple(fc.array(single, { maxLength: 3 }), plot, fc.array(single, { maxLength: 3 })).map(joined),
  });
}

function joined([before, middle, after]: [Timed[][], Timed[], Timed[][]]): Timed[] {
  return [...before.flat(), ...middle, ...after.flat()];
}

function scenarioOf(weights: Weights): fc.Arbitrary<Scenario> {
  const single = at(gapMs, commandsOf(weights)).map((timed) => [timed]);
  const part: fc.Arbitrary<Timed[]> = fc.oneof({ weight: 40, arbitrary: single }, { weight: 1, arbitrary: plot });
  return fc.record({
    seed: fc.integer({ min: 1, max: 0x7fffffff }),
    voters: fc.constantFrom(3 as const, 5 as const),
    spares: fc.integer({ min: 0, max: 2 }),
    weather: fc.record(shares),
    commands: fc.array(part, { minLength: 4, maxLength: 36, size: "max" }).map((parts) => parts.flat()),
  });
}

export const scenario: fc.Arbitrary<Scenario> = fc.oneof(
  { weight: 2, arbitrary: scenarioOf(MIXED) },
  { weight: 2, arbitrary: scenarioOf(MEMBERSHIP) },
  { weight: 1, arbitrary: plotted() },
);
