// Bounded exhaustive search: all orders of messages, losses, give-ups and one wipe, for two proposers and one change of voters.
import * as registerValue from "../../../src/register/register-value.js";
import type * as schema from "../../../src/wire/schema.js";
import * as parts from "./parts.js";
import * as states from "./state.js";
import type * as bounds from "./bounds.js";

interface Move {
  name: string;
  run(state: states.State): void;
}

interface Step {
  /** Null once its moves were made: only the moves are kept, for the trace. */
  state: states.State | null;
  move: string;
  before: Step | null;
}

function traceOf(last: Step): string[] {
  const trace: string[] = [];
  for (let step: Step | null = last; step?.before; step = step.before) trace.unshift(step.move);
  return trace;
}

export class Search {
  private readonly values = new states.Values();
  private readonly parts: parts.Parts;

  constructor(
    private readonly bounds: bounds.Bounds,
    private readonly first: schema.Value,
    private readonly disks: readonly string[],
    /** Two disks that have the same part in all values. */
    private readonly twins: readonly [string, string],
    private readonly missing: parts.Guard,
  ) {
    this.parts = new parts.Parts(this.values, missing);
  }

  run(): bounds.Found {
    const start = this.start();
    const seen = new Set<number>([states.keyOf(start, this.twins)]);
    const stack: Step[] = [{ state: start, move: "", before: null }];
    for (let next = stack.pop(); next; next = stack.pop()) {
      const from = next.state as states.State;
      next.state = null;
      for (const move of this.moves(from)) {
        const state = states.clone(from);
        move.run(state);
        states.normalize(state);
        const step: Step = { state, move: move.name, before: next };
        if (state.violation) return { states: seen.size, isWhole: false, violation: state.violation, trace: traceOf(step) };
        const key = states.keyOf(state, this.twins);
        if (seen.has(key)) continue;
        if (seen.size >= this.bounds.mostStates) return { states: seen.size, isWhole: false, violation: null, trace: [] };
        seen.add(key);
        stack.push(step);
      }
    }
    return { states: seen.size, isWhole: true, violation: null, trace: [] };
  }

  private start(): states.State {
    const first = this.values.idOf(this.first);
    const voters: states.State["voters"] = {};
    for (const disk of this.disks) {
      const isVoter = this.first.voters.some((voter) => voter.disk === disk);
      voters[disk] = { promised: 0, accepted: isVoter ? [0, first] : null };
    }
    const proposer = { known: first, hint: -1, highest: 0, step: 0, rounds: 0, phase: null };
    const all = this.bounds.programs.map(() => ({ ...proposer }));
    return { voters, proposers: all, requests: [], wipesLeft: this.bounds.wipes, chosen: {}, confirmed: {}, violation: null };
  }

  private moves(state: states.State): Move[] {
    const moves: Move[] = [];
    for (const index of state.proposers.keys()) moves.push(...this.proposerMoves(state, index));
    for (const [index, request] of state.requests.entries()) {
      const name = `${request.kind} ${request.ballot} to ${request.to}`;
      moves.push({ name, run: this.deliver.bind(this, index, false) });
      if (this.isAwaited(state, request)) moves.push({ name: `${name}, reply lost`, run: this.deliver.bind(this, index, true) });
    }
    if (state.wipesLeft > 0) for (const disk of this.disks) moves.push({ name: `wipe ${disk}`, run: this.wipe.bind(this, disk) });
    return moves;
  }

  private proposerMoves(state: states.State, index: number): Move[] {
    const proposer = state.proposers[index];
    const moves: Move[] = [];
    const { phase } = proposer;
    const calls = this.bounds.programs[index];
    if (phase) moves.push({ name: `${index} gives up`, run: this.giveUp.bind(this, index) });
    else if (proposer.step < calls.length)
      moves.push({ name: `${index} begins ${calls[proposer.step].name}`, run: this.begin.bind(this, index) });
    for (const [other, peer] of state.proposers.entries()) {
      const isNews = other !== index && this.values.get(peer.known).epoch > this.values.get(proposer.known).epoch;
      if (isNews) moves.push({ name: `${index} hears from ${other}`, run: this.hear.bind(this, index, other) });
    }
    return moves;
  }

  private hear(index: number, other: number, state: states.State): void {
    const proposer = state.proposers[index];
    const decisions = this.parts.proposer(proposer);
    decisions.learnChosen(this.values.get(state.proposers[other].known));
    this.parts.store(decisions, proposer);
  }

  /** One disk goes; without its guard it comes back blank under its old identity. */
  private wipe(disk: string, state: states.State): void {
    state.wipesLeft -= 1;
    state.voters[disk] = this.missing === "wipe_keeps_identity" ? { promised: 0, accepted: null } : null;
  }

  private begin(index: number, state: states.State): void {
    const proposer = state.proposers[index];
    proposer.rounds += 1;
    proposer.highest += 1;
    const ballot = proposer.highest * 10 + index + 1;
    proposer.phase = { kind: "prepare", ballot, votes: [], read: -1, proposed: -1, isReadFirst: false, isOk: false };
    for (const { disk } of this.targets(proposer)) {
      state.requests.push({ kind: "prepare", from: index, to: disk, ballot, value: -1, isSetChosen: false });
    }
  }

  /** Whom the phase asks; the hint may have grown since, which only lets more votes count as its own. */
  private targets(proposer: states.ProposerState): Iterable<schema.Voter> {
    const decisions = this.parts.proposer(proposer);
    const { phase } = proposer;
    if (!phase || phase.kind === "prepare") return decisions.targets(decisions.newestChosen).values();
    return decisions.targets(this.values.get(phase.read), this.values.get(phase.proposed)).values();
  }

  private giveUp(index: number, state: states.State): void {
    const proposer = state.proposers[index];
    const phase = proposer.phase as states.Phase;
    const decisions = this.parts.proposer(proposer);
    decisions.recordVotes(this.parts.votesOf(phase.votes, this.targets(proposer)));
    this.parts.store(decisions, proposer);
    this.endRound(proposer);
  }

  private endRound(proposer: states.ProposerState): void {
    proposer.phase = null;
    if (proposer.rounds >= this.bounds.mostRounds) this.endCall(proposer);
  }

  private endCall(proposer: states.ProposerState): void {
    proposer.phase = null;
    proposer.step += 1;
    proposer.rounds = 0;
  }

  private isAwaited(state: states.State, request: states.Request): boolean {
    const { phase } = state.proposers[request.from];
    return phase !== null && phase.ballot === request.ballot && (phase.kind === "prepare") === (request.kind === "prepare");
  }

  private deliver(index: number, isReplyLost: boolean, state: states.State): void {
    const [request] = state.requests.splice(index, 1);
    const voter = state.voters[request.to] as states.VoterState;
    const isAwaited = this.isAwaited(state, request);
    const grant = this.parts.vote(voter, request);
    if (!isAwaited || isReplyLost) return;
    const proposer = state.proposers[request.from];
    const phase = proposer.phase as states.Phase;
    phase.votes.push(grant);
    if (phase.kind === "prepare") this.afterPromise(request.from, state);
    else this.afterAccept(request.from, state);
  }

  private afterPromise(index: number, state: states.State): void {
    const proposer = state.proposers[index];
    const phase = proposer.phase as states.Phase;
    const decisions = this.parts.proposer(proposer);
    const votes = this.parts.votesOf(phase.votes, this.targets(proposer));
    if (!decisions.hasPrepareQuorum(votes)) return;
    decisions.recordVotes(votes);
    const read = decisions.readFrom(votes);
    this.parts.store(decisions, proposer);
    if (!read) return this.endRound(proposer);
    const outcome = this.bounds.programs[index][proposer.step].step(read);
    const next = outcome.isOk ? outcome.value : read;
    phase.isReadFirst = next !== read && read.former.length > 0 && !decisions.isSetChosen(read);
    phase.isOk = outcome.isOk;
    const proposed = phase.isReadFirst ? read : next;
    phase.read = this.values.idOf(read);
    phase.proposed = this.values.idOf(proposed);
    if (proposed === read && decisions.isAlreadyAccepted(read, votes)) return this.finish(index, state);
    const isSetChosen = proposed.former.length === 0 && (read.former.length === 0 || decisions.isSetChosen(read));
    this.sendAccepts(index, isSetChosen, state);
  }

  /** Joiners first, as the proposer does; the others once all joiners have accepted. */
  private sendAccepts(index: number, isSetChosen: boolean, state: states.State): void {
    const proposer = state.proposers[index];
    const phase = proposer.phase as states.Phase;
    const joiners = this.joiners(phase);
    const isFirst = phase.kind === "prepare" && joiners.size > 0;
    if (phase.kind === "prepare") phase.votes = [];
    phase.kind = isFirst ? "joiners" : "accept";
    for (const { disk } of this.targets(proposer)) {
      if (joiners.has(disk) !== isFirst) continue;
      state.requests.push({ kind: "accept", from: index, to: disk, ballot: phase.ballot, value: phase.proposed, isSetChosen });
    }
  }

  private joiners(phase: states.Phase): Set<string> {
    const before = registerValue.allVoters(this.values.get(phase.read));
    const joiners = new Set<string>();
    for (const { disk } of this.values.get(phase.proposed).voters) if (!before.has(disk)) joiners.add(disk);
    return joiners;
  }

  private afterAccept(index: number, state: states.State): void {
    const proposer = state.proposers[index];
    const phase = proposer.phase as states.Phase;
    const { granted } = this.parts.votesOf(phase.votes, this.targets(proposer));
    if (phase.kind === "joiners") {
      // A value that adds voters names the former ones: it needs no proof that its set was chosen.
      if ([...this.joiners(phase)].every((disk) => granted.has(disk))) this.sendAccepts(index, false, state);
    } else if (registerValue.isQuorum(this.values.get(phase.proposed), granted)) this.finish(index, state);
  }

  private finish(index: number, state: states.State): void {
    const proposer = state.proposers[index];
    const phase = proposer.phase as states.Phase;
    const value = this.values.get(phase.proposed);
    const decisions = this.parts.proposer(proposer);
    decisions.recordVotes(this.parts.votesOf(phase.votes, this.targets(proposer)));
    decisions.commit(value);
    this.parts.store(decisions, proposer);
    const known = state.chosen[value.epoch];
    if (known !== undefined && known !== phase.proposed) state.violation = `two values are chosen at epoch ${value.epoch}`;
    state.chosen[value.epoch] = phase.proposed;
    if (phase.isReadFirst) return this.endRound(proposer);
    this.confirm(this.bounds.programs[index][proposer.step], phase.isOk, state);
    this.endCall(proposer);
  }

  private confirm(call: bounds.Call, isOk: boolean, state: states.State): void {
    if (call.base === null || !isOk) return;
    const other = state.confirmed[call.base];
    if (other !== undefined && other !== call.name) state.violation = `${other} and ${call.name} are both confirmed on base ${call.base}`;
    state.confirmed[call.base] = call.name;
  }
}
