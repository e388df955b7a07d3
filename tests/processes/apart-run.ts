// Five control nodes as real processes; two of them are cut off from the others for twenty seconds, while callers on both
// sides add to tallies and send some adds twice. Meanwhile one node is killed, and one loses its disk. Afterwards all agree.
import * as fs from "node:fs";
import * as path from "node:path";
import * as callers from "./callers.js";
import * as nodes from "./nodes.js";

const NODES = 5;
/** The first so many are cut off from the rest. */
const FEWER = 2;
const CUT_MS = 20_000;
const BEFORE_MS = 4000;
/** Nodes must agree so long after the cut. */
const MERGE_MS = 3000;
const ADDS_A_SECOND = 50;
const REPEAT_SHARE = 0.1;
const PATIENCE_MS = 1000;
const MAX_SENDINGS = 20;
const KILLED = 2;
const WIPED = 3;
const DOWN_MS = 1500;

/** What callers sent and what was acknowledged. */
interface Seen {
  sent: number;
  acknowledged: number;
  sendings: number;
  slowest: number;
}

async function send(address: string, id: string): Promise<boolean> {
  const body = JSON.stringify({ instance_id: id, actor: 1 });
  const headers = { "Content-Type": "application/json" };
  const reply = await callers.call(address, "POST", "/-/Tallies.Update/reviews", headers, body, PATIENCE_MS);
  return reply?.status === 200;
}

/** One add, sent to one node of the side after the other until it is acknowledged, and now and then once more. */
async function add(addresses: readonly string[], id: string, seen: Seen): Promise<void> {
  const startMs = performance.now();
  const first = Math.floor(Math.random() * addresses.length);
  seen.sent += 1;
  for (let sending = 0; sending < MAX_SENDINGS; sending += 1) {
    seen.sendings += 1;
    if (!(await send(addresses[(first + sending) % addresses.length], id))) continue;
    seen.acknowledged += 1;
    seen.slowest = Math.max(seen.slowest, performance.now() - startMs);
    if (Math.random() < REPEAT_SHARE) await send(addresses[(first + 1) % addresses.length], id);
    return;
  }
}

async function total(address: string): Promise<number | null> {
  const reply = await callers.call(address, "GET", "/-/Tallies.Describe/reviews", {}, "", PATIENCE_MS);
  return reply?.status === 200 ? (JSON.parse(reply.body) as { total: number }).total : null;
}

/** Whether all nodes came to one total that accounts for every add. */
export async function run(folder: string, program: string): Promise<boolean> {
  const system = new nodes.ProcessSystem(folder, NODES);
  const cutFile = path.join(folder, "cuts.json");
  const preload = path.resolve("tests/processes/cut-links.cjs");
  function start(index: number): nodes.NodeProcess {
    const cuts = [nodes.ipOf(index, "control"), nodes.INTERNAL_PORT, cutFile].join(",");
    return system.start(index, "control", program, true, ["-r", preload], { CRANEWIND_TEST_CUTS: cuts });
  }
  async function lose(node: nodes.NodeProcess, index: number, isDiskLost: boolean): Promise<void> {
    node.child?.kill("SIGKILL");
    await nodes.pause(DOWN_MS);
    if (isDiskLost) fs.rmSync(system.folderOf(index), { recursive: true });
    start(index);
  }
  await system.startStandIns();
  try {
    const started = Array.from({ length: NODES }, (_, index) => start(index));
    return await play(cutFile, async () => {
      await nodes.pause(CUT_MS / 4);
      await lose(started[KILLED], KILLED, false);
      await nodes.pause(CUT_MS / 4);
      await lose(started[WIPED], WIPED, true);
    });
  } finally {
    await system.end();
  }
}

async function play(cutFile: string, lose: () => Promise<void>): Promise<boolean> {
  const all = Array.from({ length: NODES }, (_, index) => nodes.controlOf(index));
  const sides = [all.slice(0, FEWER), all.slice(FEWER)];
  while ((await Promise.all(all.map(total))).includes(null)) await nodes.pause(100);
  const seen: Seen[] = sides.map(() => ({ sent: 0, acknowledged: 0, sendings: 0, slowest: 0 }));
  const open: Promise<void>[] = [];
  const timer = setInterval(() => {
    for (const [side, addresses] of sides.entries()) open.push(add(addresses, `${side}-${seen[side].sent}`, seen[side]));
  }, 1000 / ADDS_A_SECOND);
  await nodes.pause(BEFORE_MS);
  fs.writeFileSync(cutFile, JSON.stringify(sides.map((side) => side.map((address) => address.split(":")[0]))));
  const losses = lose();
  await nodes.pause(CUT_MS);
  const apart = await Promise.all(all.map(total));
  clearInterval(timer);
  await Promise.all([losses, ...open]);
  fs.writeFileSync(cutFile, "[]");
  await nodes.pause(MERGE_MS);
  const joined = await Promise.all(all.map(total));
  for (const [side, figures] of seen.entries()) console.log(`side of ${sides[side].length}:`, figures);
  console.log("totals in the cut:", apart, "after it:", joined);
  const least = seen.reduce((sum, { acknowledged }) => sum + acknowledged, 0);
  const most = seen.reduce((sum, { sent }) => sum + sent, 0);
  const isAgreed = joined.every((told) => told !== null && told === joined[0]);
  return isAgreed && joined[0]! >= least && joined[0]! <= most && apart.some((told) => told !== null && told < least);
}
