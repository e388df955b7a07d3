// What happens in one soak, from its seed alone: signals, restarts and changes of settings, in series that overlap.
import * as simulatedClock from "../sim/simulated-clock.js";
import type * as nodes from "./nodes.js";

/** `restart`: SIGTERM, and started again when it has ended. `remove`: SIGTERM for good. `interrupt`: a restart by SIGINT and SIGTERM. `pause`: stopped and continued. */
export type EventKind = "restart" | "remove" | "interrupt" | "reload" | "early" | "pause";

export interface PlannedEvent {
  atMs: number;
  kind: EventKind;
  role: nodes.Role;
  index: number;
  /** Between the end of the process and its next start, or between its stop and its continuation. */
  downMs: number;
  /** `early`: SIGTERM comes so long after the next start too. */
  afterMs: number;
}

export interface SoakPlan {
  seed: number;
  durationMs: number;
  controls: number;
  routers: number;
  clients: number;
  graceS: number;
  /** Of the events of the runners' streams, by place: some are done at once, some take seconds. */
  eventMs: readonly number[];
  events: PlannedEvent[];
}

export interface SoakSize {
  seconds: number;
  routers: number;
  /** Some clients send two requests at once on one connection. */
  hasPairs: boolean;
}

/** Time at the begin and at the end without events, for the start and for what is still under way. */
const CALM_MS = 1500;
/** Streams of eight such events take most of a grace period. */
const LONG_EVENT_MS = 650;
const PAUSES = 3;
const MAX_PAUSE_MS = 4000;
const GRACE_CHOICES_S = [8, 8, 5, 3];

class Dice {
  private readonly clock: simulatedClock.SimulatedClock;

  constructor(seed: number) {
    this.clock = new simulatedClock.SimulatedClock(seed * 2654435761 + 1);
    for (let turn = 0; turn < 8; turn += 1) this.clock.random();
  }

  between(from: number, to: number): number {
    return from + (to - from) * this.clock.random();
  }

  pick<Item>(items: readonly Item[]): Item {
    return items[Math.floor(this.clock.random() * items.length)];
  }

  shuffled(count: number): number[] {
    const indexes = Array.from({ length: count }, (_, index) => index);
    for (let at = count - 1; at > 0; at -= 1) {
      const other = Math.floor(this.clock.random() * (at + 1));
      [indexes[at], indexes[other]] = [indexes[other], indexes[at]];
    }
    return indexes;
  }
}

export function planOf(seed: number, { seconds, routers }: SoakSize): SoakPlan {
  const dice = new Dice(seed);
  const durationMs = seconds * 1000;
  const controls = dice.pick([3, 3, 4]);
  const plan: SoakPlan = {
    seed,
    durationMs,
    controls,
    routers,
    clients: Math.min(400, routers * 8),
    graceS: dice.pick(GRACE_CHOICES_S),
    eventMs: [dice.between(2, 20), dice.between(50, 250), dice.between(20, 400), LONG_EVENT_MS],
    events: [],
  };
  addSeries(plan, dice, "router", routers);
  addSeries(plan, dice, "router", routers);
  addSeries(plan, dice, "control", controls);
  addSingles(plan, dice);
  addPauses(plan, new Dice(seed + 0.5));
  plan.events.sort((left, right) => left.atMs - right.atMs);
  return plan;
}

function event(dice: Dice, atMs: number, kind: EventKind, role: nodes.Role, index: number): PlannedEvent {
  return { atMs, kind, role, index, downMs: dice.between(100, 1000), afterMs: dice.between(0, 600) };
}

/** Restarts of all nodes of a role, one after the other, whether or not the one before is back. */
function addSeries(plan: SoakPlan, dice: Dice, role: nodes.Role, count: number): void {
  const span = plan.durationMs - 2 * CALM_MS;
  const gapMs = Math.min(dice.between(200, 2500), span / count);
  let atMs = CALM_MS + dice.between(0, Math.max(0, span - gapMs * count));
  for (const index of dice.shuffled(count)) {
    const kind = dice.pick<EventKind>(["restart", "restart", "restart", "interrupt", "early"]);
    plan.events.push(event(dice, atMs, kind, role, index));
    atMs += gapMs;
  }
}

/** Control nodes that stand still; drawn by dice of their own, so that the rest of a seed's plan stays as it was. */
function addPauses(plan: SoakPlan, dice: Dice): void {
  for (let count = 0; count < PAUSES; count += 1) {
    const index = Math.floor(dice.between(0, Math.min(plan.controls, 3)));
    const atMs = dice.between(CALM_MS, plan.durationMs - CALM_MS);
    plan.events.push({ ...event(dice, atMs, "pause", "control", index), downMs: dice.between(300, MAX_PAUSE_MS) });
  }
}

function addSingles(plan: SoakPlan, dice: Dice): void {
  const at = (): number => dice.between(CALM_MS, plan.durationMs - CALM_MS);
  for (let count = 0; count < 6 + plan.routers / 4; count += 1) {
    const role = dice.pick<nodes.Role>(["router", "control"]);
    const index = Math.floor(dice.between(0, role === "router" ? plan.routers : plan.controls));
    plan.events.push(event(dice, at(), dice.pick<EventKind>(["reload", "reload", "restart"]), role, index));
  }
  plan.events.push(event(dice, at(), "remove", "router", Math.floor(dice.between(0, plan.routers))));
  // A fourth control node is a spare: one of the others may leave for good.
  if (plan.controls > 3) plan.events.push(event(dice, at(), "remove", "control", Math.floor(dice.between(0, 3))));
}
