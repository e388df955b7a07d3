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
  | { kind: "power"; ms: number }
  | { kind: "freeze"; node: number; ms: number }
  | { kind: "isolate"; node: number; way: "in" | "out" | "both"; ms: number }
  | { kind: "cut"; node: number; other: number; ms: number }
  | { kind: "disk"; node: number; trouble: "stalled" | "failing" | "short"; ms: number }
  | { kind: "weather"; lost: number; doubled: number; late: number; ms: number }
  | { kind: "wipe"; node: number; target: "any" | "joiner" | "voter"; isPowerLost: boolean; ms: number }
  | { kind: "replace"; node: number; isPlanned: boolean }
  | { kind: "membership"; node: number; silent: number }
  | { kind: "settle"; node: number; delayMs: number };

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
const power = fc.record({ kind: kind("power"), ms: shortMs });
const freeze = fc.record({ kind: kind("freeze"), node: index, ms: shortMs });
const isolate = fc.record({ kind: kind("isolate"), node: index, way: fc.constantFrom("in", "out", "both"), ms: shortMs });
const cut = fc.record({ kind: kind("cut"), node: index, other: index, ms: shortMs });
const disk = fc.record({ kind: kind("disk"), node: index, trouble: fc.constantFrom("stalled", "failing", "short"), ms: shortMs });
const shares = {
  lost: fc.constantFrom(0, 0.05, 0.1, 0.2, 0.3),
  doubled: fc.constantFrom(0, 0.1, 0.3),
  late: fc.constantFrom(0, 0.05, 0.2),
};
const weather = fc.record({ kind: kind("weather"), ...shares, ms: fc.integer({ min: 500, max: 10_000 }) });
const wipe = fc.record({
  kind: kind("wipe"),
  node: index,
  target: fc.constantFrom("any", "joiner", "voter"),
  isPowerLost: fc.boolean(),
  ms: fc.integer({ min: 100, max: 3000 }),
});
const replace = fc.record({ kind: kind("replace"), node: index, isPlanned: fc.boolean() });
const membership = fc.record({ kind: kind("membership"), node: index, silent: index });
const settle = fc.record({ kind: kind("settle"), node: index, delayMs: fc.integer({ min: 0, max: 4000 }) });

const command: fc.Arbitrary<Command> = fc.oneof(
  { weight: 10, arbitrary: order },
  { weight: 6, arbitrary: duel },
  { weight: 1, arbitrary: burst },
  { weight: 4, arbitrary: resend },
  { weight: 4, arbitrary: read },
  { weight: 3, arbitrary: crash },
  { weight: 1, arbitrary: power },
  { weight: 3, arbitrary: freeze },
  { weight: 3, arbitrary: isolate },
  { weight: 2, arbitrary: cut },
  { weight: 3, arbitrary: disk },
  { weight: 3, arbitrary: weather },
  { weight: 4, arbitrary: wipe },
  { weight: 2, arbitrary: replace },
  { weight: 4, arbitrary: membership },
  { weight: 4, arbitrary: settle },
);

const timed: fc.Arbitrary<Timed> = fc.record({
  gapMs: fc.oneof(
    { weight: 6, arbitrary: fc.integer({ min: 0, max: 150 }) },
    { weight: 2, arbitrary: fc.integer({ min: 300, max: 2500 }) },
    { weight: 1, arbitrary: fc.integer({ min: 5000, max: 8000 }) },
  ),
  command,
});

export const scenario: fc.Arbitrary<Scenario> = fc.record({
  seed: fc.integer({ min: 1, max: 0x7fffffff }),
  voters: fc.constantFrom(3 as const, 5 as const),
  spares: fc.integer({ min: 0, max: 2 }),
  weather: fc.record(shares),
  commands: fc.array(timed, { minLength: 4, maxLength: 40, size: "max" }),
});
