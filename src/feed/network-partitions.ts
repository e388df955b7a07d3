/** Detects which regions are partitioned from a router that has sessions with a few control nodes alone (design/members 4). */
import * as link from "../wire/link.js";
import * as types from "../wire/types.js";
import type * as dialer from "./dialer.js";

const HEARTBEAT_FRESH_MS = 3 * link.HEARTBEAT_INTERVAL_MS;

/**
 * The regions that this router is partitioned from: by the silence of its own links where it has links to all control nodes of
 * the region, else by the reports of its own region's control nodes, when all of them agree.
 */
export function partitionedRegions(dial: dialer.Dialer, own: string, now: types.SteadyMs): Set<string> {
  const partitioned = new Set(dial.silentRegions());
  const reports: Set<string>[] = [];
  for (const { node, heartbeat, heartbeatAt } of dial.controls.values()) {
    if (node.region === own && heartbeat && now - heartbeatAt < HEARTBEAT_FRESH_MS) reports.push(new Set(heartbeat.silentRegions));
  }
  if (reports.length === 0) return partitioned;
  for (const region of partitioned) if (!hasAllLinks(dial, region) && !isReportedByAll(reports, region)) partitioned.delete(region);
  for (const region of reports[0])
    if (isReportedByAll(reports, region) && !isReachedByOwnLink(dial, region, partitioned)) partitioned.add(region);
  return partitioned;
}

/** Whether this router's own links still receive from the region. */
function isReachedByOwnLink(dial: dialer.Dialer, region: string, silent: ReadonlySet<string>): boolean {
  if (silent.has(region)) return false;
  for (const { node } of dial.controls.values()) if (node.region === region) return true;
  return false;
}

/** Whether this router has links to all known control nodes of a region. */
function hasAllLinks(dial: dialer.Dialer, region: string): boolean {
  for (const [address, target] of dial.targets) {
    if (target.region === region && !dial.controls.has(address) && target.failures === 0) return false;
  }
  return true;
}

function isReportedByAll(reports: readonly ReadonlySet<string>[], region: string): boolean {
  for (const report of reports) if (!report.has(region)) return false;
  return true;
}
