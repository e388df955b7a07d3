// Known dangers of the register as short plots, with chance in their times: three voters, one spare as the fourth node.
import * as fc from "fast-check";
import * as commands from "./commands.js";

/** The first spare of three voters. */
const JOINER = 3;

function at<C extends commands.Command>(gapMs: fc.Arbitrary<number>, command: fc.Arbitrary<C>): fc.Arbitrary<commands.Timed> {
  return fc.record({ gapMs, command });
}

/** A joint set reaches few, then a settle reaches few, and both sides of a split take orders: any step may miss. */
function lateSettleAt(node: number): fc.Arbitrary<commands.Timed[]> {
  const side = fc.constant((1 << node) | (1 << JOINER));
  const joint = {
    ...commands.FIELDS.membership,
    node: fc.constant(node),
    silent: fc.constant((node + 1) % 3),
    withinMs: commands.between(50, 300),
  };
  const everywhere = fc.constant<commands.Command>({ kind: "duel", node, orders: 4 });
  return commands.between(120, 400).chain(function around(ms) {
    return fc.tuple(
      at(commands.between(0, 2000), fc.record(joint)),
      at(commands.between(30, 200), fc.record({ ...commands.FIELDS.split, side, ms: fc.constant(ms) })),
      at(commands.between(ms, ms + 50), fc.record({ ...commands.FIELDS.settle, node: fc.constant(JOINER), delayMs: fc.constant(0) })),
      at(commands.between(20, 150), fc.record({ ...commands.FIELDS.split, side, ms: commands.between(4000, 6000) })),
      at(commands.between(0, 1000), everywhere),
      at(commands.between(500, 1500), everywhere),
    );
  });
}

/** Around a bad disk: an order confirmed, all power lost at once, and the one other holder is slow to come back. */
function shortWriteAt(node: number): fc.Arbitrary<commands.Timed[]> {
  const slow = fc.constant(node + 1);
  return fc.tuple(
    at(
      commands.between(0, 500),
      fc.record({ ...commands.FIELDS.disk, node: fc.constant(node), trouble: fc.constant("short" as const), ms: fc.constant(4000) }),
    ),
    at(
      commands.between(0, 300),
      fc.record({ ...commands.FIELDS.power, slow, isAfterOrder: fc.constant(true), ms: commands.between(1500, 4000) }),
    ),
    at(commands.between(100, 600), fc.record(commands.FIELDS.duel)),
    at(commands.between(0, 600), fc.record(commands.FIELDS.read)),
  );
}

/** An order confirmed, and at once a disk lost with the power of all others. */
function wipeAt(node: number): fc.Arbitrary<commands.Timed[]> {
  const parts = { ...commands.FIELDS.wipe, node: fc.constant(node), slow: fc.constant(node + 1), target: fc.constant("any" as const) };
  return fc.tuple(
    at(commands.between(6000, 8000), fc.record({ ...parts, isAfterOrder: fc.constant(true), isPowerLost: fc.constant(true) })),
    at(commands.between(100, 600), fc.record(commands.FIELDS.read)),
    at(commands.between(0, 400), fc.record(commands.FIELDS.duel)),
  );
}

export const plot: fc.Arbitrary<commands.Timed[]> = fc
  .tuple(fc.constantFrom(lateSettleAt, shortWriteAt, wipeAt), fc.nat({ max: 2 }))
  .chain(([made, node]) => made(node));
