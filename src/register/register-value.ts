/**
 * The value of the register, on which the control nodes agree: configuration, evacuations and voters (design 5.1). All
 * functions are pure: a change gives a new value with the next epoch.
 */
import * as crypto from "node:crypto";
import * as zlib from "node:zlib";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as orderHistory from "./order-history.js";

/** Lower than every ballot that is proposed. */
export const NO_BALLOT: schema.Ballot = { n: 0, by: "" };

/** Negative, 0 or positive, as the left one is lower, the same or higher. */
export function compareBallots(left: schema.Ballot, right: schema.Ballot): number {
  if (left.n !== right.n) return left.n - right.n;
  return left.by < right.by ? -1 : left.by > right.by ? 1 : 0;
}

/** The value that every process knows at the very first start, made from the seed addresses alone (design 5.4). */
export function initialValue(seeds: readonly string[]): schema.Value {
  return {
    epoch: types.FIRST_EPOCH,
    revision: 0,
    config: Buffer.alloc(0),
    taken: Buffer.alloc(0),
    evacuations: [],
    voterEpoch: types.FIRST_EPOCH,
    voters: seeds.map(initialVoter),
    former: [],
  };
}

/** The identity of a disk that was there at the very first start. */
export function initialDisk(address: string): string {
  return `first:${address}`;
}

function initialVoter(address: string): schema.Voter {
  return { disk: initialDisk(address), node: "", address };
}

/** A configuration document as the value stores it: compressed JSON. */
export function pack(document: unknown): Buffer {
  return packText(Buffer.from(JSON.stringify(document)));
}

/** A text as the value stores it. */
export function packText(text: Buffer): Buffer {
  return zlib.deflateRawSync(text, { level: 4 });
}

/** The text of the document in a value, JSON without spaces; empty: there is none yet. */
export function unpackText(config: Buffer): string {
  return config.length === 0 ? "" : zlib.inflateRawSync(config).toString("utf8");
}

/** Cache of the last parsed document, which several parts of a node request with each change; it may be collected at any time. */
let parsedCache: { config: Buffer; document: WeakRef<object> } | null = null;

/** The document in a value; null: there is none yet. Callers share the object and must not modify it. */
export function unpack(config: Buffer): unknown {
  if (config.length === 0) return null;
  const cached = parsedCache?.config === config ? parsedCache.document.deref() : undefined;
  if (cached) return cached;
  const document: unknown = JSON.parse(unpackText(config));
  if (typeof document === "object" && document !== null) parsedCache = { config, document: new WeakRef(document) };
  return document;
}

/** A short digest of the parts, 22 characters. */
export function digest(...parts: (string | Buffer)[]): string {
  const hash = crypto.createHash("sha256");
  for (const part of parts) hash.update(part).update("\0");
  return hash.digest("base64url").slice(0, 22);
}

/** Whether the order with this id was applied on this base (order-history.ts). */
export function findOrder(value: schema.Value, base: number, orderId: string): orderHistory.OrderStatus {
  return orderHistory.lookUp(value.taken, value.revision, base, orderId);
}

/** The value with a new configuration, set by the order with this id. `revision` is above the value's own. */
export function withConfig(value: schema.Value, revision: number, config: Buffer, orderId: string): schema.Value {
  const taken = orderHistory.append(value.taken, value.revision, revision, orderId);
  return { ...value, epoch: types.nextEpoch(value.epoch), revision, config, taken };
}

/** The value with an evacuation started or stopped; the same object where nothing changes. */
export function withEvacuation(value: schema.Value, zone: string, isStart: boolean): schema.Value {
  const others = value.evacuations.filter((item) => item !== zone);
  if (isStart === others.length < value.evacuations.length) return value;
  return { ...value, epoch: types.nextEpoch(value.epoch), evacuations: isStart ? [...others, zone].sort() : others };
}

/** The value with new voters; it keeps the former ones (a joint value) until majorities of both sets have accepted it (design 5.5). */
export function withVoters(value: schema.Value, voters: schema.Voter[]): schema.Value {
  return { ...value, epoch: types.nextEpoch(value.epoch), voterEpoch: types.nextEpoch(value.voterEpoch), voters, former: value.voters };
}

/** The value without its former voters. */
export function withoutFormerVoters(value: schema.Value): schema.Value {
  if (value.former.length === 0) return value;
  return { ...value, epoch: types.nextEpoch(value.epoch), former: [] };
}

/** All voters of the values by disk; where addresses differ, the later value's counts, and the newer set's before the former's. */
export function allVoters(...values: schema.Value[]): Map<string, schema.Voter> {
  const all = new Map<string, schema.Voter>();
  for (const value of values) {
    for (const voter of [...value.former, ...value.voters]) all.set(voter.disk, voter);
  }
  return all;
}

/** Whether two values have the same voters and voter epoch, joint or not. */
export function hasSameVoters(left: schema.Value, right: schema.Value): boolean {
  if (left.voterEpoch !== right.voterEpoch || left.voters.length !== right.voters.length) return false;
  return left.voters.every((voter, index) => voter.disk === right.voters[index].disk);
}

function isMajority(voters: readonly schema.Voter[], granted: ReadonlySet<string>): boolean {
  let count = 0;
  for (const voter of voters) if (granted.has(voter.disk)) count += 1;
  return count > voters.length / 2;
}

/** Whether the disks are a majority of the voters of the value; in a joint value, of both sets. */
export function isQuorum(value: schema.Value, granted: ReadonlySet<string>): boolean {
  if (!isMajority(value.voters, granted)) return false;
  return value.former.length === 0 || isMajority(value.former, granted);
}

/** Order of values by voter epoch, then by epoch. */
export function isNewer(left: schema.Value, right: schema.Value): boolean {
  return left.voterEpoch > right.voterEpoch || (left.voterEpoch === right.voterEpoch && left.epoch > right.epoch);
}

/** Voters of the proposed value that had no vote in the one read. */
export function addedVoters(read: schema.Value, proposed: schema.Value): schema.Voter[] {
  const before = allVoters(read);
  return proposed.voters.filter((voter) => !before.has(voter.disk));
}

/** The address of a voter by its disk; `fallback` where the disk has no vote. */
export function addressOfDisk(value: schema.Value, disk: string, fallback: string): string {
  return value.voters.find((voter) => voter.disk === disk)?.address ?? fallback;
}
