// Scenarios: a core of 3 or 5 voters with spares, the weather of its network, and commands in time.
import * as fc from "fast-check";
import * as commands from "./commands.js";
import type * as networks from "./network.js";
import * as plots from "./plots.js";

export interface Scenario {
  /** Of the simulated clock, for delays, losses and the nodes' own chance. */
  seed: number;
  voters: 3 | 5;
  spares: number;
  /** Of the network until the first weather command ends. */
  weather: networks.Weather;
  commands: commands.Timed[];
}

/** Days with some of everything. */
const MIXED: commands.Weights = {
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
const MEMBERSHIP: commands.Weights = {
  ...MIXED,
  order: 4,
  duel: 4,
  resend: 1,
  disk: 1,
  crash: 2,
  wipe: 8,
  membership: 12,
  settle: 10,
  split: 6,
};

const gapMs = fc.oneof(
  { weight: 6, arbitrary: commands.between(0, 150) },
  { weight: 2, arbitrary: commands.between(300, 2500) },
  { weight: 1, arbitrary: commands.between(5000, 8000) },
);

function singles(weights: commands.Weights): fc.Arbitrary<commands.Timed[]> {
  return fc.record({ gapMs, command: commands.commandsOf(weights) }).map((timed) => [timed]);
}

/** Three voters and one spare, in fair weather: known dangers with chance in their times, among a few other commands. */
function plotted(): fc.Arbitrary<Scenario> {
  const single = singles(MIXED);
  return fc.record({
    seed: fc.integer({ min: 1, max: 0x7fffffff }),
    voters: fc.constant(3 as const),
    spares: fc.constant(1),
    weather: fc.constant({ lost: 0, doubled: 0, late: 0 }),
    commands: fc.tuple(fc.array(single, { maxLength: 3 }), plots.plot, fc.array(single, { maxLength: 3 })).map(joined),
  });
}

function joined([before, middle, after]: [commands.Timed[][], commands.Timed[], commands.Timed[][]]): commands.Timed[] {
  return [...before.flat(), ...middle, ...after.flat()];
}

function scenarioOf(weights: commands.Weights): fc.Arbitrary<Scenario> {
  const single = singles(weights);
  const part: fc.Arbitrary<commands.Timed[]> = fc.oneof({ weight: 40, arbitrary: single }, { weight: 1, arbitrary: plots.plot });
  return fc.record({
    seed: fc.integer({ min: 1, max: 0x7fffffff }),
    voters: fc.constantFrom(3 as const, 5 as const),
    spares: fc.integer({ min: 0, max: 2 }),
    weather: fc.record(commands.SHARES),
    commands: fc.array(part, { minLength: 4, maxLength: 36, size: "max" }).map((parts) => parts.flat()),
  });
}

export const scenario: fc.Arbitrary<Scenario> = fc.oneof(
  { weight: 2, arbitrary: scenarioOf(MIXED) },
  { weight: 2, arbitrary: scenarioOf(MEMBERSHIP) },
  { weight: 1, arbitrary: plotted() },
);
