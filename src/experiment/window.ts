/** Two readings of a process, and the rows of the window between them (design/experiment 3). */
import type * as vitals from "../runtime/vitals.js";
import type * as counts from "../wire/counts.js";
import type * as rows from "./rows.js";

/** What a process said of itself at one moment of the machine's clock. */
export interface Reading {
  atMs: number;
  vitals: vitals.Vitals;
  links: Map<string, counts.LinkCount>;
  /** Runners' reports that it has read so far. */
  reports: number;
}

/** Which process a row is about; figures of a process of many routers are divided by `sharedBy`. */
export interface NodeIdentity {
  role: "control" | "router";
  node: string;
  sharedBy: number;
}

const NOTHING: counts.LinkCount = { framesTold: 0, bytesTold: 0, framesHeard: 0, bytesHeard: 0 };

/** One row a kind of frame. */
export function linkRows(point: rows.Point, identity: NodeIdentity, before: Reading, after: Reading): rows.LinkRow[] {
  const made: rows.LinkRow[] = [];
  const per = ((after.atMs - before.atMs) / 1000) * identity.sharedBy;
  for (const [kind, now] of after.links) {
    const then = before.links.get(kind) ?? NOTHING;
    made.push({
      ...point,
      role: identity.role,
      node: identity.node,
      kind,
      toldFramesPerS: (now.framesTold - then.framesTold) / per,
      toldBytesPerS: (now.bytesTold - then.bytesTold) / per,
      heardFramesPerS: (now.framesHeard - then.framesHeard) / per,
      heardBytesPerS: (now.bytesHeard - then.bytesHeard) / per,
    });
  }
  return made;
}

/** The row of the process as a whole. */
export function nodeRow(
  point: rows.Point,
  identity: NodeIdentity,
  before: Reading,
  after: Reading,
  links: readonly rows.LinkRow[],
): rows.NodeRow {
  const passedMs = after.atMs - before.atMs;
  const { vitals: now } = after;
  const sum = { toldFramesPerS: 0, toldBytesPerS: 0, heardFramesPerS: 0, heardBytesPerS: 0 };
  for (const row of links) {
    sum.toldFramesPerS += row.toldFramesPerS;
    sum.toldBytesPerS += row.toldBytesPerS;
    sum.heardFramesPerS += row.heardFramesPerS;
    sum.heardBytesPerS += row.heardBytesPerS;
  }
  return {
    ...point,
    role: identity.role,
    node: identity.node,
    sharedBy: identity.sharedBy,
    seconds: passedMs / 1000,
    cpuPercent: (100 * (now.cpuMs - before.vitals.cpuMs)) / passedMs / identity.sharedBy,
    memoryMb: now.memoryMb / identity.sharedBy,
    loopP50Ms: now.loopP50Ms,
    loopP99Ms: now.loopP99Ms,
    loopWorstMs: now.loopWorstMs,
    descriptors: now.descriptors / identity.sharedBy,
    ...sum,
    reportsReadPerS: (1000 * (after.reports - before.reports)) / passedMs,
  };
}
