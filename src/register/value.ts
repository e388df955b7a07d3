// The one value that the core agrees on: configuration, evacuations and voters (design 5.1).
import * as crypto from "node:crypto";
import * as zlib from "node:zlib";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as histories from "./history.js";

/** Below every ballot that is proposed. */
export const NO_BALLOT: schema.Ballot = { n: 0, by: "" };

/** Negative, 0 or positive, as the left one is lower, the same or higher. */
export function compareBallots(left: schema.Ballot, right: schema.Ballot): number {
  if (left.n !== right.n) return left.n - right.n;
  return left.by < right.by ? -1 : left.by > right.by ? 1 : 0;
}

/** The value that every process knows at the very first start, made of the seeds alone (design 5.4). */
export function firstValue(seeds: readonly string[]): schema.Value {
  return {
    epoch: types.FIRST_EPOCH,
    revision: 0,
    config: Buffer.alloc(0),
    taken: Buffer.alloc(0),
    evacuations: [],
    voterEpoch: types.FIRST_EPOCH,
    voters: seeds.map(firstVoter),
    former: [],
  };
}

/** The identity of a disk that was there at the very first start. */
export function firstDisk(address: string): string {
  return `first:${address}`;
}

function firstVoter(address: string): schema.Voter {
  return { disk: firstDisk(address), node: "", address };
}

/** A configuration as the value carries it. */
export function pack(document: unknown): Buffer {
  return packText(Buffer.from(JSON.stringify(document)));
}

/** A text as the value carries it. */
export function packText(text: Buffer): Buffer {
  return zlib.deflateRawSync(text, { level: 4 });
}

/** The text of the document in a value, JSON without spaces; empty: there is none yet. */
export function unpackText(config: Buffer): string {
  return config.length === 0 ? "" : zlib.inflateRawSync(config).toString("utf8");
}

/** The document parsed last, which several parts of a node ask for with each change; it may be collected at any time. */
let parsed: { config: Buffer; document: WeakRef<object> } | null = null;

/** The document in a value; null: there is none yet. Callers share it and change nothing in it. */
export function unpack(config: Buffer): unknown {
  if (config.length === 0) return null;
  const known = parsed?.config === config ? parsed.document.deref() : undefined;
  if (known) return known;
  const document: unknown = JSON.parse(unpackText(config));
  if (typeof document === "object" && document !== null) parsed = { config, document: new WeakRef(document) };
  return document;
}

/** A short digest of the parts, 22 characters. */
export function digest(...parts: (string | Buffer)[]): string {
  const hash = crypto.createHash("sha256");
  for (const part of parts) hash.update(part).update("\0");
  return hash.digest("base64url").slice(0, 22);
}

/** Whether the order with this mark was taken on this base (history.ts). */
export function findOrder(value: schema.Value, base: number, mark: string): histories.Verdict {
  return histories.lookUp(value.taken, value.revision, base, mark);
}

/** The value with a new configuration, taken by the order with this mark. `revision` is above the value's own. */
export function withConfig(value: schema.Value, revision: number, config: Buffer, mark: string): schema.Value {
  const taken = histories.append(value.taken, value.revision, revision, mark);
  return { ...value, epoch: types.nextEpoch(value.epoch), revision, config, taken };
}

/** The value with an evacuation begun or ended; the very same where nothing changes. */
export function withEvacuation(value: schema.Value, zone: string, isStart: boolean): schema.Value {
  const others = value.evacuations.filter(isOther);
  function isOther(item: string): boolean {
    return item !== zone;
  }
  if (isStart === others.length < value.evacuations.length) return value;
  return { ...value, epoch: types.nextEpoch(value.epoch), evacuations: isStart ? [...others, zone].sort() : others };
}

/** A change of voters carries the former ones until a majority of both sets holds it (design 5.5). */
export function withVoters(value: schema.Value, voters: schema.Voter[]): schema.Value {
  return { ...value, epoch: types.nextEpoch(value.epoch), voterEpoch: types.nextEpoch(value.voterEpoch), voters, former: value.voters };
}

/** The value without its former voters. */
export function settled(value: schema.Value): schema.Value {
  if (value.former.length === 0) return value;
  return { ...value, epoch: types.nextEpoch(value.epoch), former: [] };
}

/** All voters of the values by disk; where an address differs, the later value's and the newer set's counts. */
export function allVoters(...values: schema.Value[]): Map<string, schema.Voter> {
  const all = new Map<string, schema.Voter>();
  for (const value of values) {
    for (const voter of [...value.former, ...value.voters]) all.set(voter.disk, voter);
  }
  return all;
}

/** Whether two values name the same voters under the same voter epoch, settled or not. */
export function isSameSet(left: schema.Value, right: schema.Value): boolean {
  if (left.voterEpoch !== right.voterEpoch || left.voters.length !== right.voters.length) return false;
  return left.voters.every(isAlike);
  function isAlike(voter: schema.Voter, index: number): boolean {
    return voter.disk === right.voters[index].disk;
  }
}

function isMajority(voters: readonly schema.Voter[], granted: ReadonlySet<string>): boolean {
  let count = 0;
  for (const voter of voters) if (granted.has(voter.disk)) count += 1;
  return count > voters.length / 2;
}

/** Whether the disks make a majority of every set of voters in the value. */
export function isQuorum(value: schema.Value, granted: ReadonlySet<string>): boolean {
  if (!isMajority(value.voters, granted)) return false;
  return value.former.length === 0 || isMajority(value.former, granted);
}

/** Order of values by voter epoch, then by epoch. */
export function isNewer(left: schema.Value, right: schema.Value): boolean {
  return left.voterEpoch > right.voterEpoch || (left.voterEpoch === right.voterEpoch && left.epoch > right.epoch);
}

/** Voters of the proposed value that had no vote in the one read. */
export function joinersOf(read: schema.Value, proposed: schema.Value): schema.Voter[] {
  const before = allVoters(read);
  return proposed.voters.filter(isNew);
  function isNew(voter: schema.Voter): boolean {
    return !before.has(voter.disk);
  }
}

/** The address that a value names for a disk; `otherwise` where the disk has no vote. */
export function placeOf(value: schema.Value, disk: string, otherwise: string): string {
  return value.voters.find((voter) => voter.disk === disk)?.address ?? otherwise;
}
