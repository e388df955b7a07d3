// Guards that a run of the model takes out on purpose, to prove that the checker sees each of them missing.
import * as calls from "../../src/wire/calls.js";
import * as registerReplica from "../../src/control/register-replica.js";
import * as voterPolicy from "../../src/control/voters/voter-policy.js";
import type * as dialer from "../../src/feed/dialer.js";
import type * as proposer from "../../src/register/proposer.js";
import type * as registerStep from "../../src/register/register-step.js";
import type * as acceptorClient from "../../src/register/acceptor-client.js";
import * as registerValue from "../../src/register/register-value.js";
import * as errors from "../../src/runtime/errors.js";
import * as phase from "../../src/register/phase.js";
import * as result from "true-myth/result";
import * as acceptor from "../../src/register/acceptor.js";
import * as schema from "../../src/wire/schema.js";
import type * as types from "../../src/wire/types.js";
import type * as disk from "./disk.js";

export type Guard =
  | "none"
  | "settle_unchosen"
  | "empty_joiner_blocks"
  | "forget_promise"
  | "wipe_keeps_identity"
  | "any_quorum"
  | "short_write_counts"
  | "forget_orders";

/** The proposer's inner steps that mutations replace; private in the sources. */
interface ProposerParts {
  acceptors: acceptorClient.AcceptorClient;
  isSetChosen(value: schema.Value): boolean;
  accept(ballot: schema.Ballot, read: schema.Value, proposed: schema.Value): Promise<boolean>;
}

function settleAnything(read: schema.Value): registerStep.Outcome {
  return result.ok(registerValue.withoutFormerVoters(read));
}

/** Takes every joint set that was read for chosen: it is built on and settled as it stands. */
function trustJointSets(proposer: proposer.Proposer): void {
  const parts = proposer as unknown as ProposerParts;
  parts.isSetChosen = function always() {
    return true;
  };
}

/** Sends new voters to all at once: former ones may accept them before any joiner has. */
function acceptAtOnce(proposer: proposer.Proposer, clock: types.Clock): void {
  const parts = proposer as unknown as ProposerParts;
  const isSetChosen = parts.isSetChosen.bind(proposer);
  parts.accept = async function accept(ballot, read, proposed) {
    const isProven = proposed.former.length === 0 && (read.former.length === 0 || isSetChosen(read));
    const votes = new phase.Votes();
    function send(voter: schema.Voter): Promise<schema.Vote | null> {
      return parts.acceptors.accept(voter, { disk: voter.disk, ballot, isSetChosen: isProven, value: proposed });
    }
    function isPossible(disks: ReadonlySet<string>): boolean {
      return registerValue.isQuorum(proposed, disks);
    }
    function isEnough(): boolean {
      return isPossible(votes.granted);
    }
    await phase.runPhase(clock, { voters: registerValue.allVoters(read, proposed).values(), send, votes, isEnough, isPossible });
    return isEnough();
  };
}

/** Nobody ends a value that was accepted and is not known to be chosen, but by a change or a read of its own. */
function leaveUnfinished(core: registerReplica.RegisterReplica): void {
  const parts = core as unknown as { recovery: { recoverIfNeeded(): void } };
  parts.recovery.recoverIfNeeded = function idle() {};
}

/** Writes records that lack their promise. */
function forgetful(records: acceptor.RecordStore): acceptor.RecordStore {
  return {
    write(body: Buffer): Promise<void> {
      const state = schema.disk.fromBuffer(body);
      return records.write(schema.disk.toBuffer({ ...state, promised: registerValue.NO_BALLOT }));
    },
  };
}

/** The parts of the model with at most one guard missing. */
export class Mutations implements disk.DiskMutations {
  readonly isShortWriteCounted: boolean;
  readonly isIdentityKept: boolean;

  constructor(readonly missing: Guard) {
    this.isShortWriteCounted = missing === "short_write_counts";
    this.isIdentityKept = missing === "wipe_keeps_identity";
  }

  makeCore(clock: types.Clock, options: registerReplica.ReplicaOptions, dial: dialer.Dialer): registerReplica.RegisterReplica {
    const core = new registerReplica.RegisterReplica(clock, options, dial);
    if (this.missing === "settle_unchosen") trustJointSets(core.proposer);
    if (this.missing === "empty_joiner_blocks") {
      acceptAtOnce(core.proposer, clock);
      leaveUnfinished(core);
    }
    return core;
  }

  makeVoter(records: acceptor.RecordStore, state: schema.Disk): acceptor.Acceptor {
    return new acceptor.Acceptor(this.missing === "forget_promise" ? forgetful(records) : records, state);
  }

  /** What a node settles that saw this joint value chosen. */
  settleStep(joint: schema.Value): registerStep.Step {
    return this.missing === "settle_unchosen" ? settleAnything : voterPolicy.leaveJointStep(joint);
  }

  /** The voters that a node proposes; without the guard on joiners also an even core, as the policy once did. */
  nextVoters(value: schema.Value, alive: readonly voterPolicy.ReachableDisk[], silentMs: voterPolicy.SilentMsOf): schema.Voter[] | null {
    const joiner = alive.find((item) => !value.voters.some((voter) => voter.disk === item.disk));
    if (this.missing !== "empty_joiner_blocks" || !joiner) return voterPolicy.nextVoters(value, alive, silentMs);
    return [...value.voters, { disk: joiner.disk, node: joiner.node, address: joiner.address }];
  }

  /** The step of an order; without its guard no order is remembered, and what is forgotten is refused. */
  orderStep(step: registerStep.Step): registerStep.Step {
    if (this.missing !== "forget_orders") return step;
    return function forgetting(read) {
      const outcome = step({ ...read, taken: Buffer.alloc(0) });
      const isForgotten = outcome.isErr && outcome.error.code === "forgotten";
      return isForgotten ? result.err(new errors.RevisionConflictError("another revision", "read again")) : outcome;
    };
  }

  /** What a proposer makes of a voter that did not reply: nothing, unless any quorum counts. */
  replyOfSilence(pair: { readonly code: number }, ask: unknown): unknown {
    if (this.missing !== "any_quorum") return null;
    const code = pair.code;
    if (code !== calls.prepare.code && code !== calls.accept.code) return null;
    const { disk, ballot } = ask as schema.Prepare;
    return { isGranted: true, disk, ballot, accepted: null };
  }
}
