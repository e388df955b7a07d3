/**
 * Assignment of regions to the control nodes that poll their runners' load reports (design 4.5): a node of the region
 * itself where there is one; regions without a node are spread over all nodes by weight.
 */
import * as textHash from "../../limits/text-hash.js";

/** A control node that may poll load reports. */
export interface ReportReader {
  name: string;
  region: string;
}

/** A reader and the weight of the regions assigned to it so far. */
interface AssignedWeight {
  reader: ReportReader;
  weight: number;
}

/** Rounds down to a power of two: as runners come and go, only a doubling moves a region to another reader. */
function quantizeWeight(weight: number): number {
  return weight < 1 ? 0 : 2 ** Math.floor(Math.log2(weight));
}

/** Readers of the region first, by name; then the others, least loaded first, ties broken by rendezvous hash. */
function sortByPreference(region: string, loads: AssignedWeight[]): AssignedWeight[] {
  return loads.sort((left, right) => {
    const isFirstLocal = left.reader.region === region;
    if (isFirstLocal !== (right.reader.region === region)) return isFirstLocal ? -1 : 1;
    if (isFirstLocal) return left.reader.name < right.reader.name ? -1 : 1;
    return (
      left.weight - right.weight || textHash.hashText(`${region}|${left.reader.name}`) - textHash.hashText(`${region}|${right.reader.name}`)
    );
  });
}

/**
 * The readers of a region in order of precedence: the first polls, the next take over when it stops publishing. The
 * result is the same at all nodes that know the same readers and weights; while views differ, a region may be polled
 * twice.
 * @param weights runners of each region; contains all regions
 */
export function assignReaders(region: string, readers: readonly ReportReader[], weights: ReadonlyMap<string, number>): ReportReader[] {
  const loads = new Map<string, AssignedWeight>();
  for (const reader of readers) loads.set(reader.name, { reader, weight: 0 });
  const heaviestFirst = [...weights]
    .map(([name, weight]): [string, number] => [name, quantizeWeight(weight)])
    .sort((left, right) => right[1] - left[1] || (left[0] < right[0] ? -1 : 1));
  for (const isLocal of [true, false]) {
    for (const [name, weight] of heaviestFirst) {
      const preferred = sortByPreference(name, [...loads.values()]);
      if (preferred.length === 0 || (preferred[0].reader.region === name) !== isLocal) continue;
      if (name === region) return preferred.map((load) => load.reader);
      preferred[0].weight += weight;
    }
  }
  return sortByPreference(region, [...loads.values()]).map((load) => load.reader);
}
