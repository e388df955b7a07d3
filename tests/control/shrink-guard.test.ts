// A view of the routers that shrinks by much at once is held back (design/members 5); the directory prefers confirmed routers (design 4.3).
import * as shrinkGuard from "../../src/control/members/shrink-guard.js";
import * as directory from "../../src/control/directory/directory.js";
import * as simulatedClock from "../sim/simulated-clock.js";
import { router } from "../sim/nodes.js";

interface Loss {
  description: string;
  known: number;
  lost: number;
  /** How many of the lost ones announced that they drain. */
  draining: number;
  /** How many routers are in the view after the loss. */
  kept: number;
}

const LOSSES: Loss[] = [
  { description: "two of six", known: 6, lost: 2, draining: 0, kept: 6 - 2 },
  { description: "three of nine, a third", known: 9, lost: 3, draining: 0, kept: 9 - 3 },
  { description: "four of nine", known: 9, lost: 4, draining: 0, kept: 9 },
  { description: "all of nine", known: 9, lost: 9, draining: 0, kept: 9 },
  { description: "all of nine, four of which drain", known: 9, lost: 9, draining: 4, kept: 5 },
  { description: "two of two", known: 2, lost: 2, draining: 0, kept: 0 },
];

describe("shrink guard", () => {
  test.each(LOSSES)(
    "a view that lost $description keeps the lost routers for a moment if they are many",
    async ({ known, lost, draining, kept }) => {
      const clock = new simulatedClock.SimulatedClock(1);
      const guard = new shrinkGuard.ShrinkGuard(clock);
      const all = Array.from({ length: known }, (_item, index) => router(`r${index}`));
      const isDraining = (incarnation: string): boolean => all.slice(0, draining).some((node) => node.life === incarnation);
      const rest = all.slice(lost);
      guard.updateView(all, () => false);
      await clock.play(100);
      expect(guard.updateView(rest, isDraining)).toHaveLength(kept);
      await clock.play(1900);
      expect(guard.updateView(rest, isDraining)).toHaveLength(kept);
      await clock.play(200);
      guard.updateView(rest, isDraining);
      expect(guard.updateView(rest, isDraining)).toHaveLength(known - lost);
    },
  );

  test("losses spread over more than a second are not held back; the hold ends when the lost routers return", async () => {
    const clock = new simulatedClock.SimulatedClock(1);
    const guard = new shrinkGuard.ShrinkGuard(clock);
    const all = Array.from({ length: 9 }, (_item, index) => router(`r${index}`));
    for (let lost = 0; lost <= 6; lost += 1) {
      expect(guard.updateView(all.slice(lost), () => false)).toHaveLength(9 - lost);
      await clock.play(600);
    }
    guard.updateView(all, () => false);
    expect(guard.updateView([], () => false)).toHaveLength(9);
    expect(guard.isHolding).toBe(true);
    guard.updateView(all, () => false);
    expect(guard.isHolding).toBe(false);
  });

  test("the directory prefers confirmed routers when there are two of them in the zone or region", () => {
    const seen = (name: string, zone: string, isConfirmed: boolean): shrinkGuard.ObservedNode => ({
      node: router(name, { zone }),
      isConfirmed,
    });
    const near = (all: shrinkGuard.ObservedNode[]): string[] =>
      directory.nearestRouters(all, { region: "r", zone: "z" }).map((node) => node.name);
    expect(near([seen("a", "z", true), seen("b", "z", true), seen("c", "z", false)])).toEqual(["a", "b"]);
    expect(near([seen("a", "z", true), seen("b", "z", false), seen("c", "y", true)])).toEqual(["a", "c"]);
    expect(near([seen("a", "z", true), seen("b", "z", false), seen("c", "y", false)])).toEqual(["a", "b"]);
  });
});
