// Five control nodes as real processes; two of them are cut off from the others for twenty seconds, while operators on
// both sides order and read. What they saw must have one explanation (tests/model/history.ts).
import * as fs from "node:fs";
import * as path from "node:path";
import * as history from "../model/history.js";
import * as callers from "./callers.js";
import * as nodes from "./nodes.js";

const NODES = 5;
/** The first so many are cut off from the rest. */
const FEWER = 2;
const CUT_MS = 20_000;
const BEFORE_MS = 4000;
const AFTER_MS = 6000;
const OPERATORS_EACH = 2;
const PAUSE_MS = 60;
const MAX_SENDINGS = 200;

const FIRST = JSON.parse(fs.readFileSync("examples/first.json", "utf8")) as { routes: object[] };

function documentOf(revision: number, mark: string): object {
  const marked = { ...FIRST.routes[0], name: `mark-${mark}`, path_prefix: `/mark-${mark}/` };
  return { ...FIRST, revision, routes: [...FIRST.routes, marked] };
}

interface Play {
  seen: history.History;
  isOver: boolean;
}

/** Reads, orders on what it read, and sends again what got no clear answer, as operators do. */
async function operate(play: Play, name: string, addresses: string[], place: number): Promise<void> {
  const operator = new callers.OperatorCaller(name, addresses, play.seen, documentOf);
  while (!play.isOver) {
    const base = await operator.read();
    if (base === null) {
      await nodes.pause(PAUSE_MS);
      continue;
    }
    for (let sent = 0; sent < MAX_SENDINGS && !play.isOver; sent += 1) {
      if ((await operator.order(base, base + 1 + place)) !== "unclear") break;
      await nodes.pause(PAUSE_MS);
    }
    await nodes.pause(PAUSE_MS * Math.random());
  }
}

interface Count {
  orders: number;
  confirmed: number;
  refused: number;
  unclear: number;
}

function countOf(seen: history.History, isOfSide: (mark: string) => boolean, from: number, to: number): Count {
  const sendings = seen.sendings.filter(({ mark, startMs, endMs }) => isOfSide(mark) && startMs >= from && endMs <= to);
  const replies = (reply: string): number => sendings.filter((sending) => sending.reply === reply).length;
  return { orders: sendings.length, confirmed: replies("confirmed"), refused: replies("refused"), unclear: replies("unclear") };
}

/** Whether all that was seen can be explained, and the smaller side confirmed nothing. */
export async function run(folder: string, program: string): Promise<boolean> {
  const system = new nodes.ProcessSystem(folder, NODES);
  const cutFile = path.join(folder, "cuts.json");
  const preload = path.resolve("tests/processes/cut-links.cjs");
  await system.startStandIns();
  try {
    for (let index = 0; index < NODES; index += 1) {
      const cuts = [nodes.ipOf(index, "control"), nodes.INTERNAL_PORT, cutFile].join(",");
      system.start(index, "control", program, true, ["-r", preload], { CRANEWIND_TEST_CUTS: cuts });
    }
    return await play(cutFile);
  } finally {
    await system.end();
  }
}

async function play(cutFile: string): Promise<boolean> {
  const all = Array.from({ length: NODES }, (_, index) => nodes.controlOf(index));
  const sides = [all.slice(0, FEWER), all.slice(FEWER)];
  const state: Play = { seen: { sendings: [], reads: [] }, isOver: false };
  await begin(all, state.seen);
  const operators: Promise<void>[] = [];
  for (const [side, addresses] of sides.entries()) {
    for (let each = 0; each < OPERATORS_EACH; each += 1) {
      operators.push(operate(state, `side${side}.${each}`, addresses, side * OPERATORS_EACH + each));
    }
  }
  await nodes.pause(BEFORE_MS);
  const hosts = sides.map((side) => side.map((address) => address.split(":")[0]));
  fs.writeFileSync(cutFile, JSON.stringify(hosts));
  const cutAt = performance.now();
  await nodes.pause(CUT_MS);
  fs.writeFileSync(cutFile, "[]");
  const healedAt = performance.now();
  await nodes.pause(AFTER_MS);
  state.isOver = true;
  await Promise.all(operators);
  return tell(state.seen, cutAt, healedAt);
}

/** The first configuration, sent until it is taken. */
async function begin(addresses: string[], seen: history.History): Promise<void> {
  const operator = new callers.OperatorCaller("first", addresses, seen, documentOf);
  while ((await operator.order(0, 1)) !== "confirmed") await nodes.pause(PAUSE_MS);
}

function tell(seen: history.History, cutAt: number, healedAt: number): boolean {
  const ofFewer = (mark: string): boolean => mark.startsWith("side0");
  const ofMost = (mark: string): boolean => mark.startsWith("side1");
  console.log(
    "before, both sides:",
    countOf(seen, () => true, 0, cutAt),
  );
  const fewer = countOf(seen, ofFewer, cutAt, healedAt);
  console.log(`cut, the ${FEWER}:`, fewer);
  console.log(`cut, the ${NODES - FEWER}:`, countOf(seen, ofMost, cutAt, healedAt));
  console.log(
    "healed, both sides:",
    countOf(seen, () => true, healedAt, Infinity),
  );
  console.log(`reads answered: ${seen.reads.length}`);
  const wrong = history.check(seen);
  console.log(wrong ?? "all that was seen has one explanation");
  return wrong === null && fewer.confirmed === 0 && fewer.refused === 0;
}
