// The real parts that the search drives: the voter's rules, and the proposer's decisions on the votes it has.
import * as proposer from "../../../src/register/proposer.js";
import type * as acceptorClient from "../../../src/register/acceptor-client.js";
import * as phase from "../../../src/register/phase.js";
import * as registerValue from "../../../src/register/register-value.js";
import * as acceptor from "../../../src/register/acceptor.js";
import type * as schema from "../../../src/wire/schema.js";
import * as simulatedClock from "../../sim/simulated-clock.js";
import * as states from "./state.js";

export type Guard = "none" | "settle_unchosen" | "forget_promise" | "wipe_keeps_identity" | "any_quorum";

/** The decisions of the proposer that depend on nothing but what it knows and the votes; private in the sources. */
interface Decisions {
  newestChosen: schema.Value;
  newestAccepted: schema.Value | null;
  highestBallot: number;
  learnChosen(value: schema.Value): void;
  hasPrepareQuorum(votes: phase.Votes): boolean;
  readFrom(votes: phase.Votes): schema.Value | null;
  isAlreadyAccepted(read: schema.Value, votes: phase.Votes): boolean;
  isSetChosen(value: schema.Value): boolean;
  targets(...values: schema.Value[]): Map<string, schema.Voter>;
  recordVotes(votes: phase.Votes): void;
  commit(value: schema.Value): void;
}

const world = new simulatedClock.SimulatedClock(1);
const unreachable: acceptorClient.AcceptorClient = { prepare: () => Promise.resolve(null), accept: () => Promise.resolve(null) };
const kept: acceptor.RecordStore = { write: () => Promise.resolve() };

function nothing(): void {}

export class Parts {
  constructor(
    private readonly values: states.Values,
    private readonly missing: Guard,
  ) {}

  /** A real proposer that knows what the state says. */
  proposer(state: states.ProposerState): Decisions {
    const made = new proposer.Proposer(world, "model", unreachable, this.values.get(state.known), nothing);
    const decisions = made as unknown as Decisions;
    decisions.newestAccepted = state.hint < 0 ? null : this.values.get(state.hint);
    decisions.highestBallot = state.highest;
    if (this.missing === "settle_unchosen") decisions.isSetChosen = () => true;
    return decisions;
  }

  /** Writes back what the proposer has learned. */
  store(decisions: Decisions, state: states.ProposerState): void {
    state.known = this.values.idOf(decisions.newestChosen);
    state.hint = decisions.newestAccepted ? this.values.idOf(decisions.newestAccepted) : -1;
    state.highest = decisions.highestBallot;
  }

  votesOf(grants: readonly states.Grant[], asked: Iterable<schema.Voter>): phase.Votes {
    const votes = new phase.Votes();
    const byDisk = new Map<string, schema.Voter>();
    for (const voter of asked) byDisk.set(voter.disk, voter);
    for (const grant of grants) {
      const accepted = this.acceptedOf(grant.accepted);
      const vote = { isGranted: grant.isGranted, disk: grant.disk, ballot: states.ballotOf(grant.ballot), accepted };
      votes.record(byDisk.get(grant.disk) ?? { disk: grant.disk, node: "", address: "" }, vote);
    }
    if (this.missing === "any_quorum" && votes.granted.size > 0) for (const disk of byDisk.keys()) votes.granted.add(disk);
    return votes;
  }

  private acceptedOf(held: [number, number] | null): schema.Accepted | null {
    return held ? { ballot: states.ballotOf(held[0]), value: this.values.get(held[1]) } : null;
  }

  /** The real voter takes the request; its rules act before anything waits for the disk. */
  vote(voter: states.VoterState, request: states.Request): states.Grant {
    const accepted = this.acceptedOf(voter.accepted);
    const made = new acceptor.Acceptor(kept, { disk: request.to, promised: states.ballotOf(voter.promised), accepted });
    // Its disk is never done: no record is encoded, and the rules don't wait for it.
    (made as unknown as { writing: boolean }).writing = true;
    const ballot = states.ballotOf(request.ballot);
    if (request.kind === "prepare") void made.prepare({ disk: request.to, ballot });
    else void made.accept({ disk: request.to, ballot, isSetChosen: request.isSetChosen, value: this.values.get(request.value) });
    const after = made.accepted;
    const isPromised = registerValue.compareBallots(made.preparedBallot, ballot) === 0;
    const isAccepted = after !== null && registerValue.compareBallots(after.ballot, ballot) === 0;
    const isGranted = request.kind === "prepare" ? isPromised : isAccepted;
    const shown = voter.accepted;
    voter.promised =
      this.missing === "forget_promise" && request.kind === "prepare" ? voter.promised : states.numberOf(made.preparedBallot);
    voter.accepted = after ? [states.numberOf(after.ballot), this.values.idOf(after.value)] : null;
    const isShown = request.kind === "prepare" || !isGranted;
    return { disk: request.to, isGranted, ballot: states.numberOf(made.preparedBallot), accepted: isShown ? shown : null };
  }
}
