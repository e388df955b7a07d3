/**
 * Membership policy of a register: which disks should vote next, and the steps that change the voters (design 5.5,
 * hardening 3). Pure functions over the chosen value and the control nodes in touch.
 */
import * as result from "true-myth/result";
import type * as schema from "../../wire/schema.js";
import * as registerValue from "../../register/register-value.js";
import type * as registerStep from "../../register/register-step.js";

/** A voter that is silent for longer is replaced, if a learner is in touch; a restart takes less. */
export const MAX_SILENT_MS = 2500;
/** The smallest even set of voters that is better off with one voter less. */
const MIN_SHRINKABLE_VOTERS = 4;

/** A control node in touch, with the disk that it runs on. */
export interface ReachableDisk {
  /** Empty: not known yet, or none. */
  disk: string;
  node: string;
  address: string;
  isCounted: boolean;
  /** Its node is in touch and not draining: only such a disk is given a vote. */
  isReady: boolean;
}

/** For how long nothing was received from a voter. */
export type SilentMsOf = (voter: schema.Voter) => number;
/** How many changes in a row failed with the disk as learner. */
export type JoinFailuresOf = (disk: string) => number;

/**
 * The voters that should follow; null when no change is due. All replacements go in one change. An odd set grows by two
 * at once and an even one by one, so that no change makes a set even.
 */
export function nextVoters(
  value: schema.Value,
  reachable: readonly ReachableDisk[],
  silentMsOf: SilentMsOf,
  failuresOf: JoinFailuresOf = noFailures,
): schema.Voter[] | null {
  const learners = learnersOf(value, reachable, failuresOf);
  const voters = value.voters.map((voter) => movedOrReplaced(voter, reachable, learners));
  for (const [index, voter] of voters.entries()) {
    const isLost = silentMsOf(voter) > MAX_SILENT_MS || reachable.some((item) => hasOtherDisk(voter, item));
    if (voter === value.voters[index] && isLost && learners.length > 0) voters[index] = voterOf(learners.shift()!);
  }
  if (voters.some((voter, index) => voter !== value.voters[index])) return voters;
  const growth = voters.length % 2 === 0 ? 1 : 2;
  if (learners.length >= growth) return [...voters, ...learners.slice(0, growth).map(voterOf)];
  return withoutSilentVoter(value, silentMsOf);
}

/** The voter with its disk's new address, or the learner at its address, which leaves `learners`; else the voter itself. */
function movedOrReplaced(voter: schema.Voter, reachable: readonly ReachableDisk[], learners: ReachableDisk[]): schema.Voter {
  const moved = reachable.find((item) => item.disk === voter.disk && item.address !== voter.address);
  if (moved) return voterOf(moved);
  const index = learners.findIndex((item) => item.address === voter.address);
  return index < 0 ? voter : voterOf(learners.splice(index, 1)[0]);
}

/** Another disk runs at the voter's address, so the voter's own disk is gone from there. */
function hasOtherDisk(voter: schema.Voter, item: ReachableDisk): boolean {
  return item.address === voter.address && item.disk !== "" && item.disk !== voter.disk;
}

/**
 * Disks that may join. Those that failed last are considered only when there are no others, and one at a time: one bad disk
 * must not hold up the others.
 */
function learnersOf(value: schema.Value, reachable: readonly ReachableDisk[], failuresOf: JoinFailuresOf): ReachableDisk[] {
  const voting = new Set(value.voters.map((voter) => voter.disk));
  const learners = reachable
    .filter((item) => item.disk !== "" && item.isCounted && item.isReady && !voting.has(item.disk))
    .sort(compareNodes);
  const untried = learners.filter((item) => failuresOf(item.disk) === 0);
  if (untried.length > 0) return untried;
  return learners.sort((left, right) => failuresOf(left.disk) - failuresOf(right.disk)).slice(0, 1);
}

/** An even set with a silent voter is better off without it. */
function withoutSilentVoter(value: schema.Value, silentMsOf: SilentMsOf): schema.Voter[] | null {
  if (value.voters.length % 2 !== 0 || value.voters.length < MIN_SHRINKABLE_VOTERS) return null;
  const silent = value.voters.find((voter) => silentMsOf(voter) > 2 * MAX_SILENT_MS);
  return silent ? value.voters.filter((voter) => voter !== silent) : null;
}

/** The voters once the draining disk has handed its vote to a spare; null when it has no vote or no spare is in touch. */
export function votersAfterHandOver(
  value: schema.Value,
  reachable: readonly ReachableDisk[],
  failuresOf: JoinFailuresOf,
  draining: string,
): schema.Voter[] | null {
  const spare = learnersOf(value, reachable, failuresOf).at(0);
  if (!spare || !value.voters.some((voter) => voter.disk === draining)) return null;
  return value.voters.map((voter) => (voter.disk === draining ? voterOf(spare) : voter));
}

function noFailures(): number {
  return 0;
}

function voterOf(item: ReachableDisk): schema.Voter {
  return { disk: item.disk, node: item.node, address: item.address };
}

function compareNodes(left: ReachableDisk, right: ReachableDisk): number {
  return left.node < right.node ? -1 : left.node > right.node ? 1 : 0;
}

/** The step to the joint set of old and new voters; it leaves a value alone whose voters changed since `from` was read. */
export function enterJointStep(from: schema.Value, voters: schema.Voter[]): registerStep.Step {
  return (read) => {
    if (read.voterEpoch !== from.voterEpoch || read.former.length > 0) return result.ok(read);
    return result.ok(registerValue.withVoters(read, voters));
  };
}

/** The step that drops the former voters of this very joint set; another one is left alone. */
export function leaveJointStep(joint: schema.Value): registerStep.Step {
  return (read) => result.ok(registerValue.hasSameVoters(read, joint) ? registerValue.withoutFormerVoters(read) : read);
}
