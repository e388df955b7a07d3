// The commands of a scenario: what operators do and what befalls machines, links and disks, as fast-check draws them.
import * as fc from "fast-check";

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
  | { kind: "settle"; node: number; delayMs: number; withinMs: number };

/** Commands that a machine or a link bears for a time. */
export type Fault = Extract<Command, { kind: "crash" | "freeze" | "isolate" | "cut" | "split" | "disk" | "replace" }>;

export interface Timed {
  /** Time from the command before, in milliseconds. */
  gapMs: number;
  command: Command;
}

export function between(min: number, max: number): fc.Arbitrary<number> {
  return fc.integer({ min, max });
}

const index = fc.nat({ max: 19 });
const shortMs = fc.oneof(between(5, 200), between(20, 4000));

export function kind<K extends Command["kind"]>(name: K): fc.Arbitrary<K> {
  return fc.constant(name);
}

/** Of messages that are lost, doubled and late. */
export const SHARES = {
  lost: fc.constantFrom(0, 0.05, 0.1, 0.2, 0.3),
  doubled: fc.constantFrom(0, 0.1, 0.3),
  late: fc.constantFrom(0, 0.05, 0.2),
};

/** The fields of each kind of command as fast-check draws them; plots fix some of them. */
export const FIELDS = {
  order: {
    kind: kind("order"),
    node: index,
    isStale: fc.oneof({ weight: 5, arbitrary: fc.constant(false) }, { weight: 1, arbitrary: fc.constant(true) }),
    isReplyLost: fc.boolean(),
  },
  duel: { kind: kind("duel"), node: index, orders: between(2, 4) },
  burst: { kind: kind("burst"), node: index, orders: between(2, 7) },
  resend: { kind: kind("resend"), node: index, order: index },
  read: { kind: kind("read"), node: index },
  crash: { kind: kind("crash"), node: index, ms: shortMs },
  power: { kind: kind("power"), slow: index, isAfterOrder: fc.boolean(), ms: shortMs },
  freeze: { kind: kind("freeze"), node: index, ms: shortMs },
  isolate: { kind: kind("isolate"), node: index, way: fc.constantFrom("in", "out", "both"), ms: shortMs },
  cut: { kind: kind("cut"), node: index, other: index, ms: shortMs },
  /** Each bit of the number puts a node on one side or the other. */
  split: { kind: kind("split"), side: fc.nat({ max: 127 }), ms: shortMs },
  disk: { kind: kind("disk"), node: index, trouble: fc.constantFrom("stalled", "failing", "short"), isCrashed: fc.boolean(), ms: shortMs },
  weather: { kind: kind("weather"), ...SHARES, ms: between(500, 10_000) },
  wipe: {
    kind: kind("wipe"),
    node: index,
    target: fc.constantFrom("any", "joiner", "voter"),
    isPowerLost: fc.boolean(),
    slow: index,
    isAfterOrder: fc.boolean(),
    ms: between(100, 3000),
  },
  replace: { kind: kind("replace"), node: index, isPlanned: fc.boolean() },
  membership: { kind: kind("membership"), node: index, silent: index, withinMs: between(50, 4000) },
  settle: { kind: kind("settle"), node: index, delayMs: between(0, 4000), withinMs: between(50, 4000) },
} as const;

/** How often each kind comes, against the others. */
export type Weights = Record<Command["kind"], number>;

/** Commands in the proportions given. */
export function commandsOf(weights: Weights): fc.Arbitrary<Command> {
  const kinds = Object.keys(weights) as Command["kind"][];
  return fc.oneof(...kinds.map(weigh));
  function weigh(name: Command["kind"]): fc.WeightedArbitrary<Command> {
    const fields: Record<string, fc.Arbitrary<unknown>> = FIELDS[name];
    return { weight: weights[name], arbitrary: fc.record(fields) as fc.Arbitrary<unknown> as fc.Arbitrary<Command> };
  }
}
