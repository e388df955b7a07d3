// How long a router honours keys: never past the bound after a change that it missed, whatever became of the words.
import * as keyLeases from "../src/tenants/key-lease.js";
import * as types from "../src/wire/types.js";
import * as sim from "./sim/world.js";

const STRICT: keyLeases.RevocationBounds = { revocation_strict: true, revoke_delay_ms: 5000 };
const CONFIRMED_MS = 1200;

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
  const clock = new sim.SimWorld();
  clock.skip(10_000);
  const lease = new keyLeases.KeyLease(clock, STRICT);
  for (const step of steps) {
    clock.skip(step.after);
    if (step.take !== undefined) lease.take(epoch(step.take));
    if (step.hear) lease.hear(epoch(step.hear[0]), types.small(clock.now() - step.hear[1]));
    expect([lease.mayHonour(), lease.mayDeny()]).toEqual([step.honours, step.denies]);
  }
});

test("where revocation is not strict, what is known is honoured without a word", () => {
  const lease = new keyLeases.KeyLease(new sim.SimWorld(), { revocation_strict: false, revoke_delay_ms: 5000 });
  lease.take(epoch(1));
  expect([lease.mayHonour(), lease.mayDeny()]).toEqual([true, false]);
});

/**
 * One random day: changes are acknowledged, control nodes confirm and answer, ways are long and at times cut. A word names
 * what was newest when its confirmation began, or anything newer. Returns by how long the bound was passed, in ms.
 */
function worst(seed: number, countsFromReply: boolean): number {
  const clock = new sim.SimWorld(seed * 7919 + 3);
  for (let turn = 0; turn < 9; turn += 1) clock.random();
  const lease = new keyLeases.KeyLease(clock, STRICT);
  const ackedAt = [0];
  const mail: { at: number; run: () => void }[] = [];
  let held = 0;
  let most = -Infinity;
  lease.take(epoch(0));
  for (let step = 0; step < 6000; step += 1) {
    const now = clock.now();
    if (clock.random() < 0.01) {
      ackedAt.push(now);
      const number = ackedAt.length - 1;
      const delay = clock.random() < 0.3 ? clock.random() * 20_000 : clock.random() * 300;
      mail.push({ at: now + delay, run: () => take(number) });
    }
    if (clock.random() < 0.05) ask(now);
    for (const item of mail.filter(({ at }) => at <= now)) {
      mail.splice(mail.indexOf(item), 1);
      item.run();
    }
    const next = ackedAt[held + 1];
    if (lease.mayHonour() && next !== undefined) most = Math.max(most, now - next - STRICT.revoke_delay_ms);
    clock.skip(10);
  }
  return most;

  function take(number: number): void {
    held = Math.max(held, number);
    lease.take(epoch(held));
  }

  function ask(sentAt: number): void {
    const there = clock.random() * 200;
    const back = clock.random() < 0.3 ? clock.random() * 9000 : clock.random() * 200;
    mail.push({ at: sentAt + there, run: reply });
    function reply(): void {
      // The oldest that the confirmation allows: all that was acknowledged before it began.
      const knownFrom = clock.now() - CONFIRMED_MS * clock.random();
      const told = ackedAt.filter((at) => at <= knownFrom).length - 1;
      mail.push({ at: clock.now() + back, run: () => lease.hear(epoch(told), types.small(countsFromReply ? clock.now() : sentAt)) });
    }
  }
}

const SEEDS = Array.from({ length: 40 }, (_item, index) => index + 1);

test("in random days no key is honoured past the bound; counting from the reply instead of the ask would", () => {
  expect(Math.max(...SEEDS.map((seed) => worst(seed, false)))).toBeLessThanOrEqual(0);
  expect(Math.max(...SEEDS.map((seed) => worst(seed, true)))).toBeGreaterThan(0);
});
