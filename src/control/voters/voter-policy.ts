// Membership policy: which disks should vote next, and the steps that change the voters (design 5.5,
// hardening 3). Pure functions over the chosen value and the control nodes in touch.
import * as result from "true-myth/result";
import * as schema from "../../wire/schema.js";
import * as registerValue from "../../register/register-value.js";
import type * as registerStep from "../../register/register-step.js";

/** A voter silent for longer is replaced, if a joiner is there; a restart takes less. */
export const SILENT_MS = 2500;

/** A control node in touch, with the disk that it runs on. */
export interface Alive {
  disk: string;
  node: string;
  address: string;
  isCounted: boolean;
  /** It is heard and does not leave: only such a disk is given a vote. */
  isReady: boolean;
}

/** For how long nothing was heard of a voter. */
export type SilentMs = (voter: schema.Voter) => number;
/** How many changes in a row failed with the disk as joiner. */
export type Failures = (disk: string) => number;

/**
 * The voters that should follow; null when they stand as they should. All replacements go in one change. An odd core
 * grows by two at once and an even one by one, so that no change makes a core even.
 */
export function nextVoters(
  value: schema.Value,
  alive: readonly Alive[],
  silentMs: SilentMs,
  failures: Failures = none,
): schema.Voter[] | null {
  const joiners = joinersOf(value, alive, failures);
  const voters = value.voters.map(replace);
  function replace(voter: schema.Voter): schema.Voter {
    const moved = alive.find((item) => item.disk === voter.disk && item.address !== voter.address);
    if (moved) return voterOf(moved);
    const index = joiners.findIndex((item) => item.address === voter.address);
    return index < 0 ? voter : voterOf(joiners.splice(index, 1)[0]);
  }
  for (const [index, voter] of voters.entries()) {
    const isGone = silentMs(voter) > SILENT_MS || alive.some(isInItsPlace.bind(null, voter));
    if (voter === value.voters[index] && isGone && joiners.length > 0) voters[index] = voterOf(joiners.shift()!);
  }
  if (voters.some((voter, index) => voter !== value.voters[index])) return voters;
  const growth = voters.length % 2 === 0 ? 1 : 2;
  if (joiners.length >= growth) return [...voters, ...joiners.slice(0, growth).map(voterOf)];
  return shrunk(value, silentMs);
}

/** Another disk runs at the voter's address, so the voter's own disk is gone from there. */
function isInItsPlace(voter: schema.Voter, item: Alive): boolean {
  return item.address === voter.address && item.disk !== "" && item.disk !== voter.disk;
}

/** Disks that may join, those that failed last at the end and only alone: one bad disk must not hold up the others. */
function joinersOf(value: schema.Value, alive: readonly Alive[], failures: Failures): Alive[] {
  const voting = new Set(value.voters.map(diskOf));
  const joiners = alive.filter(isJoiner).sort(byNode);
  function isJoiner(item: Alive): boolean {
    return item.disk !== "" && item.isCounted && item.isReady && !voting.has(item.disk);
  }
  const fit = joiners.filter((item) => failures(item.disk) === 0);
  if (fit.length > 0) return fit;
  return joiners.sort((left, right) => failures(left.disk) - failures(right.disk)).slice(0, 1);
}

/** An even core with a silent voter is better off without it. */
function shrunk(value: schema.Value, silentMs: SilentMs): schema.Voter[] | null {
  if (value.voters.length % 2 !== 0 || value.voters.length < 4) return null;
  const gone = value.voters.find((voter) => silentMs(voter) > 2 * SILENT_MS);
  return gone ? value.voters.filter((voter) => voter !== gone) : null;
}

/** The voters once the disk has handed its vote to a spare; null when it has no vote or no spare is there. */
export function handedOver(value: schema.Value, alive: readonly Alive[], failures: Failures, leaving: string): schema.Voter[] | null {
  const spare = joinersOf(value, alive, failures).at(0);
  if (!spare || !value.voters.some((voter) => voter.disk === leaving)) return null;
  return value.voters.map((voter) => (voter.disk === leaving ? voterOf(spare) : voter));
}

function none(): number {
  return 0;
}

function voterOf(item: Alive): schema.Voter {
  return { disk: item.disk, node: item.node, address: item.address };
}

function diskOf(voter: schema.Voter): string {
  return voter.disk;
}

function byNode(left: Alive, right: Alive): number {
  return left.node < right.node ? -1 : left.node > right.node ? 1 : 0;
}

/** A step that moves on only from the epoch of voters that was looked at. */
export function voterStep(from: schema.Value, voters: schema.Voter[]): registerStep.Step {
  return function change(read) {
    if (read.voterEpoch !== from.voterEpoch || read.former.length > 0) return result.ok(read);
    return result.ok(registerValue.withVoters(read, voters));
  };
}

/** Drops the former voters, if the joint set read is the very one meant; another one is left alone. */
export function settleStep(joint: schema.Value): registerStep.Step {
  return function settle(read) {
    return result.ok(registerValue.hasSameVoters(read, joint) ? registerValue.withoutFormerVoters(read) : read);
  };
}
