// Which control node reads the reports of which region (design 4.5): one of its own region; regions without one
// are dealt out over all nodes by their weight, so that none of them has more than its part.
import * as shares from "../../limits/shares.js";

/** A control node that may read reports. */
export interface ReportReader {
  name: string;
  region: string;
}

interface Load {
  reader: ReportReader;
  weight: number;
}

/** Weights wobble as runners come and go: only a doubling moves a region to another reader. */
function stepOf(weight: number): number {
  return weight < 1 ? 0 : 2 ** Math.floor(Math.log2(weight));
}

/**
 * The readers of a region in order: the first reads, the next stand in when it is silent. The same at all nodes
 * that know the same readers and weights; where views differ for a while, a region is read twice.
 * `weights`: runners of each region, all regions among them.
 */
export function assignReaders(region: string, readers: readonly ReportReader[], weights: ReadonlyMap<string, number>): ReportReader[] {
  const loads = new Map<string, Load>();
  for (const reader of readers) loads.set(reader.name, { reader, weight: 0 });
  const heaviestFirst = [...weights].map(stepped).sort(byWeight);
  for (const isOwned of [true, false]) {
    for (const [name, weight] of heaviestFirst) {
      const order = orderOf(name, [...loads.values()]);
      if (order.length === 0 || (order[0].reader.region === name) !== isOwned) continue;
      if (name === region) return order.map(readerOf);
      order[0].weight += weight;
    }
  }
  return orderOf(region, [...loads.values()]).map(readerOf);
}

function orderOf(region: string, loads: Load[]): Load[] {
  return loads.sort(byPlace);
  function byPlace(left: Load, right: Load): number {
    const isLeftNear = left.reader.region === region;
    if (isLeftNear !== (right.reader.region === region)) return isLeftNear ? -1 : 1;
    if (isLeftNear) return left.reader.name < right.reader.name ? -1 : 1;
    return left.weight - right.weight || shares.hash(`${region}|${left.reader.name}`) - shares.hash(`${region}|${right.reader.name}`);
  }
}

function readerOf(load: Load): ReportReader {
  return load.reader;
}

function stepped(item: [string, number]): [string, number] {
  return [item[0], stepOf(item[1])];
}

function byWeight(left: [string, number], right: [string, number]): number {
  return right[1] - left[1] || (left[0] < right[0] ? -1 : 1);
}
