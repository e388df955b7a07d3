// Operators' orders against whole control nodes over a simulated network: paced callers at several nodes at once, and
// how long each order waits for its answer.
import type * as serve from "../../src/wire/serve.js";
import * as simControlNode from "./sim-control-node.js";
import * as networks from "./network.js";
import * as quantile from "./quantile.js";
import * as simulatedClock from "./simulated-clock.js";

const NAMES = ["a", "b", "c", "d", "e"];
const SETTLE_MS = 4000;
/** As the aim has it: later, and the caller has no answer. */
export const ANSWER_MS = 2000;
const MIN_DELAY_MS = 10;
const MAX_DELAY_MS = 70;
/** A node stands still for so long, once in each of these periods. */
const FREEZE_MS = 5000;
const FREEZE_EVERY_MS = 15_000;

export interface Load {
  seed: number;
  /** Nodes that callers send their orders to. */
  proposers: number;
  syncMs: number;
  callers: number;
  /** Stands still again and again, at moments that chance decides; no caller sends to it. */
  frozen?: string;
  playMs: number;
}

export interface Pace {
  perSecond: number;
  medianMs: number;
  p99Ms: number;
  longestMs: number;
  orders: number;
  /** Orders with no clear answer within ANSWER_MS. */
  late: number;
}

interface Stage {
  clock: simulatedClock.SimulatedClock;
  network: networks.SimNetwork;
  nodes: Map<string, simControlNode.ControlNode>;
}

async function start({ seed, syncMs }: Load): Promise<Stage> {
  const clock = new simulatedClock.SimulatedClock(seed);
  const network = new networks.SimNetwork(clock);
  const nodes = new Map<string, simControlNode.ControlNode>();
  for (const name of NAMES) {
    const node = new simControlNode.ControlNode(network, name, { seeds: NAMES, region: name });
    node.syncMs = syncMs;
    nodes.set(name, node);
  }
  for (const from of NAMES) {
    for (const to of NAMES) {
      if (from >= to) continue;
      const delay = MIN_DELAY_MS + clock.random() * (MAX_DELAY_MS - MIN_DELAY_MS);
      network.delays.set(`${from}>${to}`, delay).set(`${to}>${from}`, delay);
    }
  }
  await clock.play(SETTLE_MS);
  return { clock, network, nodes };
}

function freezeAgainAndAgain({ clock, network }: Stage, name: string): void {
  function begin(): void {
    network.frozen.add(name);
    clock.schedule(FREEZE_MS, () => network.frozen.delete(name));
  }
  function plan(): void {
    clock.schedule(clock.random() * (FREEZE_EVERY_MS - FREEZE_MS), begin);
    clock.schedule(FREEZE_EVERY_MS, plan);
  }
  plan();
}

/** A minute of orders without conflict, one after the other for each caller. */
export async function measure(load: Load): Promise<Pace> {
  const stage = await start(load);
  const { clock, nodes } = stage;
  if (load.frozen) freezeAgainAndAgain(stage, load.frozen);
  const reached = NAMES.filter((name) => name !== load.frozen).slice(0, load.proposers);
  const until = clock.now() + load.playMs;
  const took: number[] = [];
  let late = 0;
  async function order(caller: number, isStart: boolean): Promise<void> {
    const node = nodes.get(reached[caller % reached.length])!;
    const startedAt = clock.now();
    const call: Promise<serve.HttpResponse> = node.call("POST", `/-/Evacuations.${isStart ? "Start" : "Stop"}/z${caller}`);
    const told = await call;
    const ms = clock.now() - startedAt;
    if (told.status !== 200 || ms > ANSWER_MS) late += 1;
    else took.push(ms);
  }
  async function call(caller: number): Promise<void> {
    for (let isStart = true; clock.now() < until; isStart = !isStart) await order(caller, isStart);
  }
  for (let caller = 0; caller < load.callers; caller += 1) void call(caller);
  await clock.play(load.playMs + ANSWER_MS);
  took.sort((left, right) => left - right);
  return {
    perSecond: (took.length * 1000) / load.playMs,
    medianMs: quantile.quantile(took, 0.5),
    p99Ms: quantile.quantile(took, 0.99),
    longestMs: took[took.length - 1] ?? Number.NaN,
    orders: took.length + late,
    late,
  };
}
