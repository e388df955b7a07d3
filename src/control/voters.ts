// Who votes: a joiner takes the place of a wiped or long silent voter; two at a time join an odd core (design 5.5).
import * as result from "true-myth/result";
import * as schema from "../wire/schema.js";
import * as registers from "../register/value.js";
import type * as proposers from "../register/proposer.js";

export const SILENT_MS = 2500;

export interface Alive {
  disk: string;
  node: string;
  address: string;
  isCounted: boolean;
}

/** Null when the voters stand as they should. */
export function nextVoters(value: schema.Value, alive: readonly Alive[], silentMs: (voter: schema.Voter) => number): schema.Voter[] | null {
  const voting = new Set(value.voters.map(diskOf));
  const joiners = alive.filter(isJoiner).sort(byNode);
  function isJoiner(item: Alive): boolean {
    return item.disk !== "" && item.isCounted && !voting.has(item.disk);
  }
  if (joiners.length === 0) return shrunk(value, silentMs);
  for (const voter of value.voters) {
    for (const joiner of joiners) {
      if (joiner.address === voter.address) return swapped(value.voters, voter, joiner);
    }
  }
  for (const voter of value.voters) {
    if (silentMs(voter) > SILENT_MS) return swapped(value.voters, voter, joiners[0]);
  }
  const isEven = value.voters.length % 2 === 0;
  if (!isEven && joiners.length < 2) return null;
  return [...value.voters, voterOf(joiners[0])];
}

/** An even core with a silent voter is better off without it. */
function shrunk(value: schema.Value, silentMs: (voter: schema.Voter) => number): schema.Voter[] | null {
  if (value.voters.length % 2 !== 0 || value.voters.length < 4) return null;
  for (const voter of value.voters) {
    if (silentMs(voter) > 2 * SILENT_MS) return value.voters.filter(isOther);
    function isOther(item: schema.Voter): boolean {
      return item.disk !== voter.disk;
    }
  }
  return null;
}

function swapped(voters: readonly schema.Voter[], gone: schema.Voter, joiner: Alive): schema.Voter[] {
  return voters.map(swap);
  function swap(item: schema.Voter): schema.Voter {
    return item.disk === gone.disk ? voterOf(joiner) : item;
  }
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
export function voterStep(from: schema.Value, voters: schema.Voter[]): proposers.Step {
  return function change(read) {
    if (read.voterEpoch !== from.voterEpoch || read.former.length > 0) return result.ok(read);
    return result.ok(registers.withVoters(read, voters));
  };
}

/** Drops the former voters, if the joint set read is the very one meant; another one is left alone. */
export function settleStep(joint: schema.Value): proposers.Step {
  return function settle(read) {
    return result.ok(registers.isSameSet(read, joint) ? registers.settled(read) : read);
  };
}
