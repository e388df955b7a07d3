// Random days of words and changes for the lease on keys. Played by the tests and by `npm run model`.
import * as keyLease from "../../src/tenants/key-lease.js";
import * as types from "../../src/wire/types.js";
import * as simulatedClock from "./simulated-clock.js";

export const STRICT: keyLease.RevocationBounds = { revocation_strict: true, revoke_delay_ms: 5000 };
const CONFIRMED_MS = 1200;

function epoch(number: number): types.Epoch {
  return types.small(number);
}

/**
 * One random day: changes are acknowledged, control nodes confirm and answer, ways are long and at times cut. A word names
 * what was newest when its confirmation began, or anything newer. Returns by how long the bound was passed, in ms.
 */
export function worst(seed: number, countsFromReply: boolean): number {
  const clock = new simulatedClock.SimulatedClock(seed * 7919 + 3);
  for (let turn = 0; turn < 9; turn += 1) clock.random();
  const lease = new keyLease.KeyLease(clock, STRICT);
  const ackedAt = [0];
  const mail: { at: number; run: () => void }[] = [];
  let held = 0;
  let most = -Infinity;
  lease.applyEpoch(epoch(0));
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
    lease.applyEpoch(epoch(held));
  }

  function ask(sentAt: number): void {
    const there = clock.random() * 200;
    const back = clock.random() < 0.3 ? clock.random() * 9000 : clock.random() * 200;
    mail.push({ at: sentAt + there, run: reply });
    function reply(): void {
      // The oldest that the confirmation allows: all that was acknowledged before it began.
      const knownFrom = clock.now() - CONFIRMED_MS * clock.random();
      const told = ackedAt.filter((at) => at <= knownFrom).length - 1;
      mail.push({
        at: clock.now() + back,
        run: () => lease.recordConfirmation(epoch(told), types.small(countsFromReply ? clock.now() : sentAt)),
      });
    }
  }
}
