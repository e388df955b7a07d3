/** What a sweep's sheet shows (design/experiment 4). */
import type * as plot from "../plots/plot.js";
import * as rows from "./rows.js";

type NodeMeasure = "cpuPercent" | "memoryMb" | "toldBytesPerS" | "heardBytesPerS";

function nodePanel(
  title: string,
  yTitle: string,
  field: keyof rows.Point,
  measure: NodeMeasure,
  nodes: readonly rows.NodeRow[],
  role: rows.NodeRow["role"],
): plot.Panel {
  const byX = new Map<number, number[]>();
  for (const row of nodes) {
    if (row.role !== role) continue;
    const x = Number(row[field]);
    byX.set(x, [...(byX.get(x) ?? []), row[measure]]);
  }
  const series: plot.Series[] = [];
  for (const [x, values] of byX) {
    series.push({ x, y: rows.quantile(values, 0.5), line: "median of the nodes" }, { x, y: Math.max(...values), line: "highest" });
  }
  return { title, yTitle, series };
}

/** The panels of one sweep over `field`, for `plot.svg`. */
export function panelsOf(field: keyof rows.Point, outcome: rows.Outcome): plot.Panel[] {
  const { nodes } = outcome;
  const inForce: plot.Panel = { title: "A change: acknowledged until in force", yTitle: "ms", series: [] };
  for (const row of outcome.changes) {
    const x = Number(row[field]);
    inForce.series.push(
      { x, y: row.inForceP50Ms, line: "50 in 100" },
      { x, y: row.inForceP99Ms, line: "99 in 100" },
      { x, y: row.inForceWorstMs, line: "worst" },
    );
  }
  const moved: plot.Panel = { title: "A control node lost: all its routers follow another", yTitle: "ms, worst", series: [] };
  const dials: plot.Panel = { title: "Dials at once", yTitle: "most in 50 ms", series: [] };
  for (const row of outcome.losses) {
    moved.series.push({ x: Number(row[field]), y: row.movedWorstMs, line: row.manner });
    dials.series.push({ x: Number(row[field]), y: row.mostDialsIn50Ms, line: row.manner });
  }
  inForce.series = inForce.series.filter(isMeasured);
  return [
    nodePanel("Control node: processor time", "% of a core", field, "cpuPercent", nodes, "control"),
    nodePanel("Router: processor time of control", "% of a core", field, "cpuPercent", nodes, "router"),
    nodePanel("Control node: told", "bytes a second", field, "toldBytesPerS", nodes, "control"),
    nodePanel("Router: heard", "bytes a second", field, "heardBytesPerS", nodes, "router"),
    nodePanel("Control node: memory", "MB", field, "memoryMb", nodes, "control"),
    inForce,
    moved,
    dials,
  ];
}

function isMeasured(point: plot.Series): boolean {
  return Number.isFinite(point.y);
}
