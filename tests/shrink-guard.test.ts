// A view of routers that shrinks at once is doubted (design/members 5), and the directory prefers the sure ones (design 4.3).
import * as shrinkGuard from "../src/control/members/shrink-guard.js";
import * as directory from "../src/control/directory/directory.js";
import * as sim from "./sim/world.js";
import { router } from "./sim/nodes.js";

interface Lost {
  known: number;
  lost: number;
  left: number;
  kept: number;
}

const LOSSES: [string, Lost][] = [
  ["two of six", { known: 6, lost: 2, left: 0, kept: 6 - 2 }],
  ["three of nine, a third", { known: 9, lost: 3, left: 0, kept: 9 - 3 }],
  ["four of nine", { known: 9, lost: 4, left: 0, kept: 9 }],
  ["all of nine", { known: 9, lost: 9, left: 0, kept: 9 }],
  ["all of nine, four of which said they leave", { known: 9, lost: 9, left: 4, kept: 5 }],
  ["two of two", { known: 2, lost: 2, left: 0, kept: 0 }],
];

test.each(LOSSES)("a shrinking view: %s", async (_name, { known, lost, left, kept }) => {
  const clock = new sim.SimWorld(1);
  const doubt = new shrinkGuard.ShrinkGuard(clock);
  const all = Array.from({ length: known }, (_item, index) => router(`r${index}`));
  const hasLeft = (life: string): boolean => all.slice(0, left).some((item) => item.life === life);
  const rest = all.slice(lost);
  doubt.updateView(all, () => false);
  await clock.play(100);
  expect(doubt.updateView(rest, hasLeft)).toHaveLength(kept);
  await clock.play(1900);
  expect(doubt.updateView(rest, hasLeft)).toHaveLength(kept);
  await clock.play(200);
  doubt.updateView(rest, hasLeft);
  expect(doubt.updateView(rest, hasLeft)).toHaveLength(known - lost);
});

test("losses over more than a second are no shrinking at once; those that return end the doubt", async () => {
  const clock = new sim.SimWorld(1);
  const doubt = new shrinkGuard.ShrinkGuard(clock);
  const all = Array.from({ length: 9 }, (_item, index) => router(`r${index}`));
  for (let lost = 0; lost <= 6; lost += 1) {
    expect(doubt.updateView(all.slice(lost), () => false)).toHaveLength(9 - lost);
    await clock.play(600);
  }
  doubt.updateView(all, () => false);
  expect(doubt.updateView([], () => false)).toHaveLength(9);
  expect(doubt.isHolding).toBe(true);
  doubt.updateView(all, () => false);
  expect(doubt.isHolding).toBe(false);
});

test("the directory prefers who is surely alive when two of them stand in the zone or region", () => {
  const seen = (name: string, zone: string, isConfirmed: boolean): shrinkGuard.ObservedNode => ({
    node: router(name, { zone }),
    isConfirmed,
  });
  const near = (all: shrinkGuard.ObservedNode[]): string[] => directory.nearest(all, { region: "r", zone: "z" }).map((item) => item.name);
  expect(near([seen("a", "z", true), seen("b", "z", true), seen("c", "z", false)])).toEqual(["a", "b"]);
  expect(near([seen("a", "z", true), seen("b", "z", false), seen("c", "y", true)])).toEqual(["a", "c"]);
  expect(near([seen("a", "z", true), seen("b", "z", false), seen("c", "y", false)])).toEqual(["a", "b"]);
});
