// One phase of a round: sends a request to a set of voters and collects their votes (design 5.2).
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as registers from "./value.js";

/** A voter that has not replied by then, the own one included, counts as silent in this phase. */
const PHASE_MS = 1300;
/** The same for disks without a vote yet: a change of voters must not hold up the others for long. */
export const JOINER_MS = 600;

/** Asks one voter; null: it stays silent. */
export type Send = (voter: schema.Voter) => Promise<schema.Vote | null>;

/** The votes of one phase. */
export class Votes {
  /** Disks that granted the ballot. */
  readonly granted = new Set<string>();
  /** Of all values shown by those that granted it, the one accepted at the highest ballot. */
  newest: schema.Accepted | null = null;
  /** Disks that granted the ballot and have accepted `newest` at its very ballot. */
  readonly holders = new Set<string>();
  /** Values accepted by any voter that replied, granted or not: none need be chosen. */
  readonly shown: schema.Value[] = [];
  /** The highest ballot number that a voter named in a rejection. */
  highestDenied = 0;

  record(voter: schema.Voter, vote: schema.Vote): void {
    if (vote.accepted) this.shown.push(vote.accepted.value);
    // Another disk replies at that address: the voter is gone, which is silence and no denial.
    if (vote.disk !== voter.disk) return;
    if (!vote.isGranted) {
      this.highestDenied = Math.max(this.highestDenied, vote.ballot.n);
      return;
    }
    this.granted.add(voter.disk);
    if (vote.accepted) this.compare(voter, vote.accepted);
  }

  private compare(voter: schema.Voter, accepted: schema.Accepted): void {
    const order = this.newest ? registers.compareBallots(accepted.ballot, this.newest.ballot) : 1;
    if (order > 0) {
      this.newest = accepted;
      this.holders.clear();
    }
    if (order >= 0) this.holders.add(voter.disk);
  }
}

/** What one phase is run with. */
export interface Phase {
  voters: Iterable<schema.Voter>;
  send: Send;
  votes: Votes;
  withinMs?: number;
  /** Whether the votes so far decide the phase. */
  isEnough(): boolean;
  /** Whether they still can, should all the disks given grant it. */
  isPossible(disks: ReadonlySet<string>): boolean;
}

/** Resolves once the votes suffice, once they can't any more, or after the phase's time. Later replies are dropped. */
export function run(clock: types.World, phase: Phase): Promise<void> {
  const { votes, send } = phase;
  const voters = [...phase.voters];
  const open = new Set(voters.map(diskOf));
  return new Promise(function start(resolve) {
    const timer = clock.after(phase.withinMs ?? PHASE_MS, end);
    let isOver = false;
    function end(): void {
      isOver = true;
      timer.stop();
      resolve();
    }
    function receive(voter: schema.Voter, vote: schema.Vote | null): void {
      if (isOver) return;
      open.delete(voter.disk);
      if (vote) votes.record(voter, vote);
      if (phase.isEnough() || !phase.isPossible(new Set([...votes.granted, ...open]))) end();
    }
    function ask(voter: schema.Voter): void {
      void send(voter).then(receive.bind(null, voter), receive.bind(null, voter, null));
    }
    voters.forEach(ask);
    if (open.size === 0) end();
  });
}

function diskOf(voter: schema.Voter): string {
  return voter.disk;
}
