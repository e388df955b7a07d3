// How long a router honours keys: never past the bound after a change that it missed, whatever became of the words.
import * as keyLease from "../../src/tenants/key-lease.js";
import * as types from "../../src/wire/types.js";
import * as keyLeaseDays from "../sim/key-lease-days.js";
import * as simulatedClock from "../sim/simulated-clock.js";

function epoch(number: number): types.Epoch {
  return types.small(number);
}

interface Step {
  after: number;
  hear?: [epoch: number, sentBefore: number];
  take?: number;
  honours: boolean;
  denies: boolean;
}

test.each<[string, Step[]]>([
  ["nothing was heard yet", [{ after: 0, take: 1, honours: false, denies: false }]],
  [
    "a word of what is held holds from its ask",
    [
      { after: 0, take: 1, honours: false, denies: false },
      { after: 100, hear: [1, 50], honours: true, denies: true },
      { after: 3440, honours: true, denies: true },
      { after: 20, honours: false, denies: false },
    ],
  ],
  [
    "a word of an older epoch than the held one counts too: nothing newer stood then",
    [
      { after: 0, take: 3, honours: false, denies: false },
      { after: 100, hear: [2, 50], honours: true, denies: true },
    ],
  ],
  [
    "a word of a newer epoch counts once that is in force, from its ask",
    [
      { after: 0, take: 1, honours: false, denies: false },
      { after: 10, hear: [2, 5], honours: false, denies: false },
      { after: 1000, take: 2, honours: true, denies: true },
      { after: 2490, honours: true, denies: true },
      { after: 20, honours: false, denies: false },
    ],
  ],
  [
    "a word that was held up by a cut proves nothing",
    [
      { after: 0, take: 1, honours: false, denies: false },
      { after: 5000, hear: [1, 4000], honours: false, denies: false },
    ],
  ],
  [
    "while a newer epoch is known, unknown keys are not denied",
    [
      { after: 0, take: 1, honours: false, denies: false },
      { after: 10, hear: [1, 5], honours: true, denies: true },
      { after: 10, hear: [2, 5], honours: true, denies: false },
      { after: 50, take: 2, honours: true, denies: true },
    ],
  ],
])("%s", (_name, steps) => {
  const clock = new simulatedClock.SimulatedClock();
  clock.skip(10_000);
  const lease = new keyLease.KeyLease(clock, keyLeaseDays.STRICT);
  for (const step of steps) {
    clock.skip(step.after);
    if (step.take !== undefined) lease.applyEpoch(epoch(step.take));
    if (step.hear) lease.recordConfirmation(epoch(step.hear[0]), types.small(clock.now() - step.hear[1]));
    expect([lease.mayHonour(), lease.mayReject()]).toEqual([step.honours, step.denies]);
  }
});

test("where revocation is not strict, what is known is honoured without a word", () => {
  const lease = new keyLease.KeyLease(new simulatedClock.SimulatedClock(), { revocation_strict: false, revoke_delay_ms: 5000 });
  lease.applyEpoch(epoch(1));
  expect([lease.mayHonour(), lease.mayReject()]).toEqual([true, false]);
});

const SEEDS = Array.from({ length: 40 }, (_item, index) => index + 1);

test("in random days no key is honoured past the bound; counting from the reply instead of the ask would", () => {
  expect(Math.max(...SEEDS.map((seed) => keyLeaseDays.worst(seed, false)))).toBeLessThanOrEqual(0);
  expect(Math.max(...SEEDS.map((seed) => keyLeaseDays.worst(seed, true)))).toBeGreaterThan(0);
});
