/** Chooses the few control nodes that a router has sessions with, and when it dials or releases one (design/members 2, 3). */
import * as types from "../wire/types.js";
import * as log from "../runtime/log.js";
import * as loopDelay from "../runtime/loop-delay.js";
import * as textHash from "../limits/text-hash.js";
import type * as controlNode from "./control-node.js";

/** The number of control nodes that a router has sessions with. */
export const MAX_SESSIONS = 3;
/** With fewer usable sessions a replacement is dialled at once. */
const MIN_SESSIONS = 2;
const MAX_REPLACE_DELAY_MS = 600;
const MAX_REBALANCE_DELAY_MS = 4000;
const MIN_RELEASE_DELAY_MS = 1000;
const SILENCE_TIMEOUT_MS = 1200;
/** A dial that takes longer is not waited for: another control node is dialled beside it. */
const SLOW_DIAL_MS = 500;
/** At the start no regions are known: seeds are dialled one after the other at this interval until one replies. */
const SEED_INTERVAL_MS = 150;

const NOT_DUE = 0;
const TO_REBALANCE = 1;
const TO_REPLACE = 2;
const AT_ONCE = 3;

/** A control node that may be chosen. */
export interface Candidate {
  address: string;
  /** "" until its first hello. */
  region: string;
}

/** The router that chooses. */
export interface Self {
  name: string;
  region: string;
}

/** Score of weighted rendezvous hashing: the candidates with the highest ones are chosen, in proportion to weight (design/members 2). */
function scoreOf(self: Self, candidate: Candidate, weight: number): number {
  const fraction = (textHash.hashText(`${self.name}\n${candidate.address}`) + 0.5) / 2 ** 32;
  return -weight / Math.log(fraction);
}

/**
 * The best candidate of the own region, the best of another region, then the best of the rest, up to MAX_SESSIONS. Weights
 * come from all known candidates, usable or not, so that the loss of one moves only the routers that had sessions with it.
 */
export function chooseControls(candidates: readonly Candidate[], self: Self, known: readonly Candidate[] = candidates): Set<string> {
  const ranked = rank(candidates, self, known);
  const chosen = new Set<string>();
  const own = ranked.find((candidate) => candidate.region === self.region);
  if (own) chosen.add(own.address);
  const other = ranked.find((candidate) => candidate.region !== self.region && candidate.region !== "");
  if (other) chosen.add(other.address);
  for (const { address } of ranked) if (chosen.size < MAX_SESSIONS) chosen.add(address);
  return chosen;
}

/** All routers of a region have sessions with its control nodes, so those of small regions get fewer routers of other regions. */
function rank(candidates: readonly Candidate[], self: Self, known: readonly Candidate[]): Candidate[] {
  const counts = new Map<string, number>();
  for (const { region } of known) counts.set(region, (counts.get(region) ?? 0) + 1);
  const isWeighed = counts.has(self.region);
  const scores = new Map<Candidate, number>();
  for (const candidate of candidates) {
    scores.set(candidate, scoreOf(self, candidate, isWeighed && candidate.region !== "" ? counts.get(candidate.region)! : 1));
  }
  return [...candidates].sort((left, right) => scores.get(right)! - scores.get(left)!);
}

/** Chooses which control nodes one router holds sessions with. */
export class SessionSelector {
  private releaseAt = Infinity;
  private readonly loopDelay: loopDelay.LoopDelay;
  private startedAt = -1;
  /** Whether enough sessions are usable: all other dials may wait. */
  hasEnoughSessions = false;

  constructor(
    private readonly clock: types.Clock,
    private readonly self: Self,
  ) {
    this.loopDelay = new loopDelay.LoopDelay(clock);
  }

  /** A control node that is unconfirmed or silent does not count as a session. */
  private isUsable(control: controlNode.ControlNode, isLate: boolean): boolean {
    return this.isResponsive(control, isLate) && (!control.heartbeat || control.heartbeat.isSettled);
  }

  private isResponsive(control: controlNode.ControlNode, isLate: boolean): boolean {
    return control.link.isOpen && (isLate || control.link.idleMs() < SILENCE_TIMEOUT_MS);
  }

  /** Sets when each target is due to be dialled; releases sessions beyond the chosen ones. */
  planDials(targets: ReadonlyMap<string, controlNode.DialTarget>, controls: ReadonlyMap<string, controlNode.ControlNode>): void {
    const now = this.clock.now();
    // After a delay of this process the others are not silent: what they sent is unread.
    const isLate = this.loopDelay.recordRun();
    const all: Candidate[] = [];
    const counted: Candidate[] = [];
    let usable = 0;
    for (const [address, target] of targets) {
      const control = controls.get(address);
      const candidate = { address, region: target.region };
      all.push(candidate);
      if (control && this.isUsable(control, isLate)) usable += 1;
      if (control ? this.isUsable(control, isLate) : isFresh(target, now)) counted.push(candidate);
    }
    if (!all.some(hasKnownRegion)) {
      this.planFirstDials(all, targets);
      return;
    }
    const goal = chooseControls(counted, this.self, all);
    const isShort = goal.size < Math.min(MAX_SESSIONS, all.length);
    const ideal = chooseControls(all, this.self);
    this.hasEnoughSessions = usable >= MAX_SESSIONS;
    const urgency = usable < MIN_SESSIONS ? AT_ONCE : usable < MAX_SESSIONS ? TO_REPLACE : TO_REBALANCE;
    for (const [address, target] of targets) {
      const isChosen = isShort || goal.has(address) || ideal.has(address);
      if (target.state === "idle") this.setDue(target, isChosen ? urgency : NOT_DUE);
    }
    this.release(targets, controls, new Set([...goal, ...ideal]), !isShort && isAllUp(goal, controls));
  }

  /** No control node was met yet: the first one that replies announces all others. */
  private planFirstDials(all: readonly Candidate[], targets: ReadonlyMap<string, controlNode.DialTarget>): void {
    if (this.startedAt < 0) this.startedAt = this.clock.now();
    for (const [index, candidate] of rank(all, this.self, all).entries()) {
      const target = targets.get(candidate.address)!;
      if (target.state === "idle") target.dueAt = this.startedAt + index * SEED_INTERVAL_MS;
    }
  }

  /** A target's urgency only grows while it is idle, so that each wait is drawn once. */
  private setDue(target: controlNode.DialTarget, urgency: number): void {
    if (urgency === NOT_DUE) {
      this.clearDue(target);
      return;
    }
    if (urgency <= target.urgency) return;
    const now = this.clock.now();
    const maxDelayMs = urgency === AT_ONCE ? 0 : urgency === TO_REPLACE ? MAX_REPLACE_DELAY_MS : MAX_REBALANCE_DELAY_MS;
    // A backoff that grew while the control node was not needed does not delay it now.
    if (target.urgency === TO_REBALANCE) target.notBefore = Math.min(target.notBefore, now + MAX_REPLACE_DELAY_MS);
    target.urgency = urgency;
    target.dueAt = Math.min(target.dueAt, now + maxDelayMs * this.clock.random());
  }

  /** Called once it is dialled, connected or no longer chosen: the next delay is drawn anew. */
  clearDue(target: controlNode.DialTarget): void {
    target.urgency = NOT_DUE;
    target.dueAt = Infinity;
  }

  private release(
    targets: ReadonlyMap<string, controlNode.DialTarget>,
    controls: ReadonlyMap<string, controlNode.ControlNode>,
    kept: ReadonlySet<string>,
    isAllowed: boolean,
  ): void {
    const extra: controlNode.ControlNode[] = [];
    for (const control of controls.values()) if (!kept.has(control.address)) extra.push(control);
    if (!isAllowed || extra.length === 0) {
      this.releaseAt = Infinity;
      return;
    }
    const now = this.clock.now();
    if (this.releaseAt === Infinity) this.releaseAt = now + MIN_RELEASE_DELAY_MS + MAX_REBALANCE_DELAY_MS * this.clock.random();
    if (now < this.releaseAt) return;
    this.releaseAt = Infinity;
    for (const control of extra) {
      const target = targets.get(control.address)!;
      // A session that is unusable now must not count as an untried one next.
      target.failures = this.isUsable(control, false) ? 0 : 1;
      target.isReleased = true;
      log.count("sessions.released");
      control.link.end("another control node is better");
    }
  }
}

/** Not known to be down: never tried, released while usable, or being dialled for a short time. */
function isFresh(target: controlNode.DialTarget, now: number): boolean {
  return target.failures === 0 && (target.state === "idle" || target.state === "up" || now - target.dialedAt < SLOW_DIAL_MS);
}

function hasKnownRegion(candidate: Candidate): boolean {
  return candidate.region !== "";
}

function isAllUp(goal: ReadonlySet<string>, controls: ReadonlyMap<string, controlNode.ControlNode>): boolean {
  for (const address of goal) if (!controls.has(address)) return false;
  return true;
}
