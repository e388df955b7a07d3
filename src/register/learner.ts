// Learners first: a disk without a vote stores the chosen value before it is proposed as a voter (hardening 3, M1).
import type * as schema from "../wire/schema.js";
import type * as types from "../wire/types.js";
import type * as proposers from "./proposer.js";
import type * as roundTrips from "./round-trips.js";
import * as round from "./round.js";
import * as registers from "./value.js";

/** What the proposer at work lends. */
export interface Teacher {
  readonly clock: types.Clock;
  /** The life of this process, which its ballots name. */
  readonly life: string;
  readonly reach: proposers.Reach;
  readonly roundTrips: roundTrips.RoundTrips;
}

/**
 * Has a disk without a vote store a chosen value as a learner; true once its synced disk holds it, or, where it has voted
 * before, once it is shown that the disk syncs: it then gets the value with the change that it joins by.
 */
export async function teach(teacher: Teacher, joiner: schema.Voter, chosen: schema.Value): Promise<boolean> {
  const { reach, life } = teacher;
  const ask = { disk: joiner.disk, ballot: registers.NO_BALLOT, isSetChosen: true, value: chosen };
  const learned = await askOne(teacher, joiner, () => reach.accept(joiner, ask));
  if (learned.granted.size > 0 || learned.highestDenied === 0) return learned.granted.size > 0;
  const ballot = { n: learned.highestDenied + 1, by: life };
  const synced = await askOne(teacher, joiner, () => reach.prepare(joiner, { disk: joiner.disk, ballot }));
  return synced.granted.size > 0;
}

async function askOne({ clock, roundTrips }: Teacher, voter: schema.Voter, send: round.Send): Promise<round.Votes> {
  const votes = new round.Votes();
  const isEnough = (): boolean => votes.granted.size > 0;
  const isPossible = (disks: ReadonlySet<string>): boolean => disks.size > 0;
  await round.run(clock, { voters: [voter], send, votes, withinMs: round.JOINER_MS, roundTrips, isEnough, isPossible });
  return votes;
}
