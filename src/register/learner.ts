/**
 * Snapshot transfer to learners: a disk without a vote stores the chosen value before it is proposed as a voter, so that a
 * change of voters never waits for an empty disk (hardening 3, M1).
 */
import type * as schema from "../wire/schema.js";
import type * as types from "../wire/types.js";
import type * as acceptorClient from "./acceptor-client.js";
import * as phase from "./phase.js";
import * as registerValue from "./register-value.js";
import type * as roundTrips from "./round-trips.js";

/** The parts of a proposer that a transfer uses. */
export interface SnapshotSource {
  readonly clock: types.Clock;
  /** Incarnation of this process, which its ballots carry. */
  readonly incarnation: string;
  readonly acceptors: acceptorClient.AcceptorClient;
  readonly roundTrips: roundTrips.RoundTrips;
}

/**
 * Has a disk without a vote store a chosen value. True once the value is durable there; or, where the disk has voted
 * before and rejects it, once a prepare shows that the disk syncs: it then gets the value with the change that adds it.
 */
export async function transferSnapshot(source: SnapshotSource, learner: schema.Voter, chosen: schema.Value): Promise<boolean> {
  const { acceptors, incarnation } = source;
  const request = { disk: learner.disk, ballot: registerValue.NO_BALLOT, isSetChosen: true, value: chosen };
  const learned = await requestVote(source, learner, () => acceptors.accept(learner, request));
  if (learned.granted.size > 0 || learned.highestRejectedBallot === 0) return learned.granted.size > 0;
  const ballot = { n: learned.highestRejectedBallot + 1, by: incarnation };
  const synced = await requestVote(source, learner, () => acceptors.prepare(learner, { disk: learner.disk, ballot }));
  return synced.granted.size > 0;
}

async function requestVote({ clock, roundTrips }: SnapshotSource, voter: schema.Voter, send: phase.Send): Promise<phase.Votes> {
  const votes = new phase.Votes();
  await phase.runPhase(clock, {
    voters: [voter],
    send,
    votes,
    timeoutMs: phase.LEARNER_TIMEOUT_MS,
    roundTrips,
    isEnough: () => votes.granted.size > 0,
    isPossible: (disks) => disks.size > 0,
  });
  return votes;
}
