// Changes the register in two rounds at a majority; any control node may (design 5.2). No log, no leader.
import * as result from "true-myth/result";
import * as errors from "../startup/errors.js";
import * as log from "../startup/log.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as world from "../wire/world.js";
import * as registers from "./value.js";

/** Reaches one voter; null when it stays silent. */
export interface Reach {
  prepare(voter: schema.Voter, ask: schema.Prepare): Promise<schema.Vote | null>;
  accept(voter: schema.Voter, ask: schema.Accept): Promise<schema.Vote | null>;
}

export type Step = (read: schema.Value) => result.Result<schema.Value, errors.CranewindError>;
export type Outcome = result.Result<schema.Value, errors.CranewindError>;

interface Round {
  granted: Set<string>;
  newest: schema.Accepted | null;
  /** Who has accepted the newest ballot. */
  standing: Set<string>;
  seen: schema.Value | null;
}

const ROUND_MS = 1300;
const FIRST_PAUSE_MS = 25;
const MOST_PAUSE_MS = 600;

export class Proposer {
  private highest = 0;
  private last: Promise<unknown> = Promise.resolve();
  /** The newest value with its voters that this node heard of, chosen or not: whom to ask. */
  private asked: schema.Value;

  constructor(
    private readonly clock: types.World,
    private readonly life: string,
    private readonly reach: Reach,
    first: schema.Value,
    private readonly onChosen: (value: schema.Value) => void,
  ) {
    this.asked = first;
  }

  /** A newer set of voters, heard from elsewhere. */
  heard(value: schema.Value): void {
    if (
      this.asked.voters.length === 0 ||
      value.voterEpoch > this.asked.voterEpoch ||
      (value.voterEpoch === this.asked.voterEpoch && value.epoch > this.asked.epoch)
    )
      this.asked = value;
  }

  change(step: Step, withinMs: number): Promise<Outcome> {
    const until = this.clock.now() + withinMs;
    const run = this.attempt.bind(this, step, until);
    const outcome = this.last.then(run, run);
    this.last = outcome;
    return outcome;
  }

  private async attempt(step: Step, until: number): Promise<Outcome> {
    let pause = FIRST_PAUSE_MS;
    while (this.clock.now() < until) {
      const outcome = await this.once(step);
      if (outcome) return outcome;
      log.count("register.again");
      await world.sleep(this.clock, pause * (0.3 + this.clock.random()));
      pause = Math.min(MOST_PAUSE_MS, pause * 2);
    }
    return result.err(errors.fail("no_majority", "no majority of the core replied in time", "send the call again, to any control node"));
  }

  /** Null: try again with a higher ballot. */
  private async once(step: Step): Promise<Outcome | null> {
    this.highest += 1;
    const ballot = { n: this.highest, by: this.life };
    const asked = this.asked;
    const promised = await this.gather(asked, asked, this.preparing(ballot, asked.voterEpoch));
    if (promised.seen) this.heard(promised.seen);
    if (!registers.isQuorum(asked, promised.granted)) return null;
    const read = promised.newest ? promised.newest.value : asked.epoch === 0 ? asked : null;
    if (!read) return null;
    if (read.voterEpoch > asked.voterEpoch || !registers.isQuorum(read, promised.granted)) {
      this.asked = read;
      return null;
    }
    const wanted = step(read);
    // What is denied was read at a majority, but must be chosen before anybody hears of it.
    const next = wanted.isOk ? wanted.value : read;
    // A quorum that has accepted this very ballot has chosen it already: reading needs no second round.
    const isStanding = next === read && registers.isQuorum(read, promised.standing);
    if (isStanding) return this.ended(next, wanted);
    const accepted = await this.gather(read, next, this.accepting(ballot, types.laterEpoch(asked.voterEpoch, next.voterEpoch), next));
    if (accepted.seen) this.heard(accepted.seen);
    if (!registers.isQuorum(read, accepted.granted) || !registers.isQuorum(next, accepted.granted)) return null;
    return this.ended(next, wanted);
  }

  private ended(chosen: schema.Value, wanted: Outcome): Outcome {
    this.heard(chosen);
    this.onChosen(chosen);
    return wanted.isOk ? result.ok(chosen) : wanted;
  }

  private preparing(ballot: schema.Ballot, voterEpoch: types.Epoch): (voter: schema.Voter) => Promise<schema.Vote | null> {
    const reach = this.reach;
    return function prepare(voter) {
      return reach.prepare(voter, { disk: voter.disk, ballot, voterEpoch });
    };
  }

  private accepting(
    ballot: schema.Ballot,
    voterEpoch: types.Epoch,
    value: schema.Value,
  ): (voter: schema.Voter) => Promise<schema.Vote | null> {
    const reach = this.reach;
    return function accept(voter) {
      return reach.accept(voter, { disk: voter.disk, ballot, voterEpoch, value });
    };
  }

  /** Asks all voters of both values; ends at a quorum of both, or once none can come together. */
  private gather(first: schema.Value, second: schema.Value, send: (voter: schema.Voter) => Promise<schema.Vote | null>): Promise<Round> {
    const round: Round = { granted: new Set(), newest: null, standing: new Set(), seen: null };
    const voters = registers.allVoters(first, second);
    const take = this.take.bind(this, round);
    const clock = this.clock;
    return new Promise(function start(resolve) {
      // A hung disk, the own one too, is a silent voter: the round never waits on it.
      const tick = clock.after(ROUND_MS, end);
      function end(): void {
        tick.stop();
        resolve(round);
      }
      const open = new Set(voters.keys());
      function isEnough(granted: ReadonlySet<string>): boolean {
        return registers.isQuorum(first, granted) && registers.isQuorum(second, granted);
      }
      for (const voter of voters.values()) {
        void send(voter).then(heard, silent);
        function heard(vote: schema.Vote | null): void {
          open.delete(voter.disk);
          if (vote) take(voter, vote);
          if (isEnough(round.granted) || !isEnough(new Set([...round.granted, ...open]))) end();
        }
        function silent(): void {
          heard(null);
        }
      }
      if (open.size === 0) end();
    });
  }

  private compare(round: Round, voter: schema.Voter, accepted: schema.Accepted): void {
    const order = round.newest ? registers.compareBallots(accepted.ballot, round.newest.ballot) : 1;
    if (order > 0) {
      round.newest = accepted;
      round.standing.clear();
    }
    if (order >= 0) round.standing.add(voter.disk);
  }

  private take(round: Round, voter: schema.Voter, vote: schema.Vote): void {
    if (vote.accepted) {
      if (vote.isGranted && vote.disk === voter.disk) this.compare(round, voter, vote.accepted);
      if (!round.seen || vote.accepted.value.voterEpoch > round.seen.voterEpoch) round.seen = vote.accepted.value;
    }
    if (vote.isGranted && vote.disk === voter.disk) {
      round.granted.add(voter.disk);
      return;
    }
    // Another disk answers there: that voter is gone, which is silence and no denial.
    if (vote.disk !== voter.disk) return;
    this.highest = Math.max(this.highest, vote.ballot.n);
  }
}
