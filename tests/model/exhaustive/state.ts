// States of the bounded search: voters, two proposers, and requests on their way. Plain data, compared by a digest.
import * as crypto from "node:crypto";
import type * as schema from "../../../src/wire/schema.js";
import * as registerValue from "../../../src/register/register-value.js";

/** Values are named by their content, so that equal ones are one object and steps can be seen to change nothing. */
export class Values {
  private readonly byKey = new Map<string, number>();
  private readonly all: schema.Value[] = [];

  idOf(value: schema.Value): number {
    const key = JSON.stringify([value.epoch, value.voterEpoch, value.revision, value.taken, value.voters, value.former]);
    const known = this.byKey.get(key);
    if (known !== undefined) return known;
    this.byKey.set(key, this.all.length);
    return this.all.push(value) - 1;
  }

  get(id: number): schema.Value {
    return this.all[id];
  }
}

/** Ballots are numbers here: of the round, times ten, plus the proposer. */
export function ballotOf(number: number): schema.Ballot {
  return { n: Math.floor(number / 10), by: String(number % 10) };
}

export function numberOf(ballot: schema.Ballot): number {
  return ballot.n * 10 + Number(ballot.by);
}

export interface VoterState {
  promised: number;
  /** Ballot and value, or null when nothing was accepted. */
  accepted: [number, number] | null;
}

export interface Request {
  kind: "prepare" | "accept";
  from: number;
  to: string;
  ballot: number;
  value: number;
  isSetChosen: boolean;
}

export interface Grant {
  disk: string;
  isGranted: boolean;
  ballot: number;
  accepted: [number, number] | null;
}

export interface Phase {
  kind: "prepare" | "joiners" | "accept";
  ballot: number;
  /** By disk: what is decided on votes does not depend on the order of their coming. */
  votes: Grant[];
  read: number;
  proposed: number;
  isReadFirst: boolean;
  isOk: boolean;
}

export interface ProposerState {
  known: number;
  hint: number;
  highest: number;
  /** The step of the program that is on, and its rounds begun. */
  step: number;
  rounds: number;
  phase: Phase | null;
}

export interface State {
  /** Null: the disk is gone. */
  voters: Record<string, VoterState | null>;
  proposers: ProposerState[];
  requests: Request[];
  wipesLeft: number;
  /** What proposers found chosen, by epoch; what they confirmed, by base. */
  chosen: Record<string, number>;
  confirmed: Record<string, string>;
  violation: string | null;
}

export function clone(state: State): State {
  const voters: State["voters"] = {};
  for (const [disk, voter] of Object.entries(state.voters)) voters[disk] = voter && { ...voter };
  return {
    ...state,
    voters,
    proposers: state.proposers.map(cloneProposer),
    requests: [...state.requests],
    chosen: { ...state.chosen },
    confirmed: { ...state.confirmed },
  };
}

function cloneProposer(proposer: ProposerState): ProposerState {
  const { phase } = proposer;
  return { ...proposer, phase: phase && { ...phase, votes: [...phase.votes] } };
}

/** Digits of a digest that make a whole number: 52 bits. Of ten million states two share one with a chance of 1 in 90. */
const DIGEST_DIGITS = 13;

/** Digest of a state, equal for states that differ only in which of two disks with the same part in everything is which. */
export function keyOf(state: State, twins: readonly [string, string]): number {
  const own = JSON.stringify(state);
  const exchanged = JSON.stringify(withExchanged(state, twins));
  const digest = crypto
    .createHash("sha1")
    .update(own < exchanged ? own : exchanged)
    .digest("hex");
  return parseInt(digest.slice(0, DIGEST_DIGITS), 16);
}

function withExchanged(state: State, [left, right]: readonly [string, string]): State {
  function other(disk: string): string {
    return disk === left ? right : disk === right ? left : disk;
  }
  const made = clone(state);
  made.voters = {};
  for (const disk of Object.keys(state.voters)) made.voters[disk] = state.voters[other(disk)];
  made.requests = state.requests.map((request) => ({ ...request, to: other(request.to) }));
  for (const { phase } of made.proposers) if (phase) phase.votes = phase.votes.map((vote) => ({ ...vote, disk: other(vote.disk) }));
  normalize(made);
  return made;
}

/** Requests that no voter can grant any more change nothing: they are left out. Rows without an order get one. */
export function normalize(state: State): void {
  for (const { phase } of state.proposers) phase?.votes.sort(byDisk);
  state.requests = state.requests.filter(isAlive);
  state.requests.sort(byContent);
  function isAlive(request: Request): boolean {
    const voter = state.voters[request.to];
    return voter !== null && voter !== undefined && registerValue.compareBallots(ballotOf(request.ballot), ballotOf(voter.promised)) >= 0;
  }
}

function byDisk(left: Grant, right: Grant): number {
  return left.disk < right.disk ? -1 : left.disk > right.disk ? 1 : 0;
}

function byContent(left: Request, right: Request): number {
  if (left.ballot !== right.ballot) return left.ballot - right.ballot;
  if (left.kind !== right.kind) return left.kind < right.kind ? -1 : 1;
  return left.to < right.to ? -1 : left.to > right.to ? 1 : 0;
}
