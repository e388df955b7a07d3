// Which regions are cut off from a router that holds sessions with a few control nodes alone (design/members 4).
import * as link from "../wire/link.js";
import * as types from "../wire/types.js";
import type * as dialer from "./dialer.js";

const HEARTBEAT_FRESH_MS = 3 * link.HEARTBEAT_INTERVAL_MS;

/** Own links' silence where it tells all; else the word of the own region's control nodes, when all of them agree. */
export function partitionedRegions(dial: dialer.Dialer, own: string, now: types.SteadyMs): Set<string> {
  const cut = new Set(dial.silentRegions());
  const words: Set<string>[] = [];
  for (const { node, heartbeat: beat, heartbeatAt: beatAt } of dial.controls.values()) {
    if (node.region === own && beat && now - beatAt < HEARTBEAT_FRESH_MS) words.push(new Set(beat.silentRegions));
  }
  if (words.length === 0) return cut;
  for (const region of cut) if (!hasAllLinks(dial, region) && !isReportedByAll(words, region)) cut.delete(region);
  for (const region of words[0]) if (isReportedByAll(words, region) && !isReachedByOwnLink(dial, region, cut)) cut.add(region);
  return cut;
}

/** Whether a link of this router's own to that region speaks still. */
function isReachedByOwnLink(dial: dialer.Dialer, region: string, silent: ReadonlySet<string>): boolean {
  if (silent.has(region)) return false;
  for (const { node } of dial.controls.values()) if (node.region === region) return true;
  return false;
}

/** Whether links to all known control nodes of a region stand. */
function hasAllLinks(dial: dialer.Dialer, region: string): boolean {
  for (const [address, target] of dial.targets) {
    if (target.region === region && !dial.controls.has(address) && target.failures === 0) return false;
  }
  return true;
}

function isReportedByAll(words: readonly ReadonlySet<string>[], region: string): boolean {
  for (const word of words) if (!word.has(region)) return false;
  return true;
}
