/**
 * A control node is lost: how long until all routers that followed it follow another, and how many dial at once
 * meanwhile and at its return (design/experiment 3).
 */
import * as routers from "./routers.js";
import * as rows from "./rows.js";

/** The row of one loss at `atMs` of the machine's clock, from the reports of all router groups. */
export function lossRow(
  point: rows.Point,
  manner: "killed" | "frozen",
  lost: string,
  atMs: number,
  followers: number,
  reports: readonly routers.RouterGroupReport[],
): rows.LossRow {
  const movedMs: number[] = [];
  const dials = new Map<number, number>();
  for (const report of reports) {
    const leaving = new Set<number>();
    for (const item of report.followedChanges) {
      if (item.atMs < atMs) continue;
      if (item.from === lost) leaving.add(item.router);
      if (item.to !== null && item.to !== lost && leaving.delete(item.router)) movedMs.push(item.atMs - atMs);
    }
    for (const [slot, count] of report.dials) {
      if ((slot + 1) * routers.DIAL_SLOT_MS > atMs) dials.set(slot, (dials.get(slot) ?? 0) + count);
    }
  }
  const counts = [...dials.values()];
  return {
    ...point,
    manner,
    followers,
    moved: movedMs.length,
    movedP50Ms: rows.quantile(movedMs, 0.5),
    movedP99Ms: rows.quantile(movedMs, 0.99),
    movedWorstMs: rows.quantile(movedMs, 1),
    dials: counts.reduce(add, 0),
    mostDialsIn50Ms: Math.max(0, ...counts),
  };
}

function add(left: number, right: number): number {
  return left + right;
}
