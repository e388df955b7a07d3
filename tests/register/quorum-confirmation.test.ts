// What the answers of a majority confirm, and for how long (design/hardening/1-cut-off 2).
import * as quorumConfirmation from "../../src/register/quorum-confirmation.js";
import * as registerValue from "../../src/register/register-value.js";
import type * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";
import * as simulatedClock from "../sim/simulated-clock.js";

function voters(...disks: string[]): schema.Voter[] {
  return disks.map((disk) => ({ disk, node: disk, address: disk }));
}

function valueOf(epoch: number, current: schema.Voter[], former: schema.Voter[] = []): schema.Value {
  return { ...registerValue.initialValue([]), epoch: types.small(epoch), voters: current, former };
}

function answer(sentAt: number, epoch: number): quorumConfirmation.Answer {
  return { sentAt: types.small(sentAt), epoch: types.small(epoch) };
}

describe("quorum confirmation", () => {
  test("a majority of recent answers confirms; their age counts from the request, not from the answer", () => {
    const clock = new simulatedClock.SimulatedClock();
    clock.skip(1000);
    const confirmation = new quorumConfirmation.Confirmation(clock);
    const value = valueOf(4, voters("a", "b", "c"));
    expect(confirmation.isConfirmed(value)).toBe(false);
    confirmation.recordAnswer("a", answer(1000, 4));
    clock.skip(300);
    confirmation.recordAnswer("b", answer(1000, 3));
    expect(confirmation.isConfirmed(value)).toBe(true);
    clock.skip(quorumConfirmation.MAX_ANSWER_AGE_MS - 301);
    expect(confirmation.isConfirmed(value)).toBe(true);
    clock.skip(1);
    expect(confirmation.isConfirmed(value)).toBe(false);
    confirmation.recordAnswer("a", answer(1000, 4)); // an answer that was delayed
    confirmation.recordAnswer("b", answer(1000, 4));
    expect(confirmation.isConfirmed(value)).toBe(false);
  });

  test("a disk that is no voter does not count, nor one without a name, nor one disk twice", () => {
    const clock = new simulatedClock.SimulatedClock();
    const confirmation = new quorumConfirmation.Confirmation(clock);
    const value = valueOf(4, voters("a", "b", "c"));
    for (const disk of ["a", "a", "x", "y", ""]) confirmation.recordAnswer(disk, answer(0, 4));
    expect(confirmation.isConfirmed(value)).toBe(false);
    expect(confirmation.isConfirmed(null)).toBe(false);
    expect(confirmation.isConfirmed(valueOf(4, []))).toBe(false);
  });

  test("a joint value is confirmed by a majority of both sets", () => {
    const clock = new simulatedClock.SimulatedClock();
    const confirmation = new quorumConfirmation.Confirmation(clock);
    const joint = valueOf(5, voters("a", "d", "e"), voters("a", "b", "c"));
    for (const disk of ["a", "d"]) confirmation.recordAnswer(disk, answer(0, 5));
    expect(confirmation.isConfirmed(joint)).toBe(false);
    confirmation.recordAnswer("b", answer(0, 5));
    expect(confirmation.isConfirmed(joint)).toBe(true);
  });

  test("an answer that knows a newer epoch counts once the value has caught up; an earlier one counts meanwhile", () => {
    const clock = new simulatedClock.SimulatedClock();
    const confirmation = new quorumConfirmation.Confirmation(clock);
    const old = valueOf(4, voters("a", "b", "c"));
    confirmation.recordAnswer("a", answer(0, 4));
    confirmation.recordAnswer("b", answer(0, 4));
    clock.skip(600);
    for (const disk of ["a", "b"]) confirmation.recordAnswer(disk, answer(600, 5));
    expect(confirmation.isConfirmed(old)).toBe(true);
    clock.skip(600);
    expect(confirmation.isConfirmed(old)).toBe(false);
    expect(confirmation.isConfirmed(valueOf(5, voters("a", "b", "c")))).toBe(true);
  });
});
