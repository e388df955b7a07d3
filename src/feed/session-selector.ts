// Which few control nodes a router holds sessions with, and when it dials or releases one (design/members 2, 3).
import * as types from "../wire/types.js";
import * as log from "../runtime/log.js";
import * as textHash from "../limits/text-hash.js";
import type * as controlNode from "./control-node.js";

/** Control nodes that a router holds sessions with. */
export const MAX_SESSIONS = 3;
/** Fewer than these left: a replacement is dialled at once. */
const MIN_SESSIONS = 2;
const MAX_REPLACE_DELAY_MS = 600;
const MAX_REBALANCE_DELAY_MS = 4000;
const MIN_RELEASE_DELAY_MS = 1000;
const SILENCE_TIMEOUT_MS = 1200;
/** A turn so late says that this process stood still, not that others are silent. */
const LATE_PLAN_MS = 400;
/** A dial that takes longer is not waited for: another is tried beside it. */
const SLOW_DIAL_MS = 500;
/** At the start no regions are known: seeds are tried one after the other, so long apart, until one replies. */
const SEED_INTERVAL_MS = 150;

const NOT_DUE = 0;
const TO_REBALANCE = 1;
const TO_REPLACE = 2;
const AT_ONCE = 3;

/** Where a control node stands. */
export interface Candidate {
  address: string;
  /** "" when not met yet. */
  region: string;
}

/** The router that chooses. */
export interface Self {
  name: string;
  region: string;
}

/** Weighted rendezvous: the place with the highest score; each gets its part by weight (design/members 2). */
function scoreOf(self: Self, place: Candidate, weight: number): number {
  const part = (textHash.hashText(`${self.name}\n${place.address}`) + 0.5) / 2 ** 32;
  return -weight / Math.log(part);
}

/**
 * The own region's best, the best of another region, then the best of the rest, up to MAX_SESSIONS. Weights come from all that
 * are known, usable or not: one that is lost then moves nobody but those that held it.
 */
export function chooseControls(places: readonly Candidate[], self: Self, known: readonly Candidate[] = places): Set<string> {
  const ranked = rank(places, self, known);
  const chosen = new Set<string>();
  const own = ranked.find(isOwn);
  if (own) chosen.add(own.address);
  const other = ranked.find(isOther);
  if (other) chosen.add(other.address);
  for (const { address } of ranked) if (chosen.size < MAX_SESSIONS) chosen.add(address);
  return chosen;
  function isOwn(place: Candidate): boolean {
    return place.region === self.region;
  }
  function isOther(place: Candidate): boolean {
    return place.region !== self.region && place.region !== "";
  }
}

/** All routers of a region hold its control nodes: those of small regions get less from routers of elsewhere. */
function rank(places: readonly Candidate[], self: Self, known: readonly Candidate[]): Candidate[] {
  const counts = new Map<string, number>();
  for (const { region } of known) counts.set(region, (counts.get(region) ?? 0) + 1);
  const isWeighed = counts.has(self.region);
  const scores = new Map<Candidate, number>();
  for (const place of places) {
    scores.set(place, scoreOf(self, place, isWeighed && place.region !== "" ? counts.get(place.region)! : 1));
  }
  return [...places].sort(byScore);
  function byScore(left: Candidate, right: Candidate): number {
    return scores.get(right)! - scores.get(left)!;
  }
}

/** Chooses which control nodes one router holds sessions with. */
export class SessionSelector {
  private releaseAt = Infinity;
  private plannedAt = -Infinity;
  private startedAt = -1;
  /** Enough good ones are held: what else is known may wait. */
  hasEnoughSessions = false;

  constructor(
    private readonly clock: types.Clock,
    private readonly self: Self,
  ) {}

  /** One that says it is not settled, or is silent, does not count toward its sessions. */
  private isUsable(control: controlNode.ControlNode, isLate: boolean): boolean {
    return this.isResponsive(control, isLate) && (!control.heartbeat || control.heartbeat.isSettled);
  }

  private isResponsive(control: controlNode.ControlNode, isLate: boolean): boolean {
    return control.link.isOpen && (isLate || control.link.idleMs() < SILENCE_TIMEOUT_MS);
  }

  /** Sets when each target is due to be dialled; releases those that are held beyond what it needs. */
  planDials(targets: ReadonlyMap<string, controlNode.DialTarget>, controls: ReadonlyMap<string, controlNode.ControlNode>): void {
    const now = this.clock.now();
    const isLate = now - this.plannedAt > LATE_PLAN_MS;
    this.plannedAt = now;
    const all: Candidate[] = [];
    const counted: Candidate[] = [];
    let good = 0;
    for (const [address, target] of targets) {
      const control = controls.get(address);
      const place = { address, region: target.region };
      all.push(place);
      if (control && this.isUsable(control, isLate)) good += 1;
      if (control ? this.isUsable(control, isLate) : isFresh(target, now)) counted.push(place);
    }
    if (!all.some(hasKnownRegion)) {
      this.planFirstDials(all, targets);
      return;
    }
    const goal = chooseControls(counted, this.self, all);
    const isShort = goal.size < Math.min(MAX_SESSIONS, all.length);
    const ideal = chooseControls(all, this.self);
    this.hasEnoughSessions = good >= MAX_SESSIONS;
    const urgency = good < MIN_SESSIONS ? AT_ONCE : good < MAX_SESSIONS ? TO_REPLACE : TO_REBALANCE;
    for (const [address, target] of targets) {
      const isWanted = isShort || goal.has(address) || ideal.has(address);
      if (target.state === "idle") this.setDue(target, isWanted ? urgency : NOT_DUE);
    }
    this.release(targets, controls, new Set([...goal, ...ideal]), !isShort && isAllUp(goal, controls));
  }

  /** Nobody was met yet: whoever replies first tells of all the others. */
  private planFirstDials(all: readonly Candidate[], targets: ReadonlyMap<string, controlNode.DialTarget>): void {
    if (this.startedAt < 0) this.startedAt = this.clock.now();
    for (const [index, place] of rank(all, this.self, all).entries()) {
      const target = targets.get(place.address)!;
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
    const mostMs = urgency === AT_ONCE ? 0 : urgency === TO_REPLACE ? MAX_REPLACE_DELAY_MS : MAX_REBALANCE_DELAY_MS;
    // A pause that grew while it was not needed does not hold up what is needed now.
    if (target.urgency === TO_REBALANCE) target.notBefore = Math.min(target.notBefore, now + MAX_REPLACE_DELAY_MS);
    target.urgency = urgency;
    target.dueAt = Math.min(target.dueAt, now + mostMs * this.clock.random());
  }

  /** Dialled, up or no longer wanted: the next wait is drawn anew. */
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
      // One that is not good now must not be taken for a fresh one next.
      target.failures = this.isUsable(control, false) ? 0 : 1;
      target.isReleased = true;
      log.count("sessions.released");
      control.link.end("another control node is better");
    }
  }
}

/** Not known to be down: never tried, let go while it was good, or being dialled for a short while. */
function isFresh(target: controlNode.DialTarget, now: number): boolean {
  return target.failures === 0 && (target.state === "idle" || target.state === "up" || now - target.dialedAt < SLOW_DIAL_MS);
}

function hasKnownRegion(place: Candidate): boolean {
  return place.region !== "";
}

function isAllUp(goal: ReadonlySet<string>, controls: ReadonlyMap<string, controlNode.ControlNode>): boolean {
  for (const address of goal) if (!controls.has(address)) return false;
  return true;
}
