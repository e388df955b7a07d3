// Three control nodes and three routers as real processes of the release before are restarted one by one with this one,
// under clients' requests and operators' orders. With --stop-all the control nodes end first: releases whose links differ.
import * as fs from "node:fs";
import * as history from "../model/history.js";
import * as callers from "./callers.js";
import * as nodes from "./nodes.js";

const NODES = 3;
const REQUEST_EVERY_MS = 20;
const ORDER_EVERY_MS = 300;
/** Between two restarts. */
const CALM_MS = 3000;
const REQUEST_MS = 3000;
const LIMITED = { name: "yard", api_keys: ["key-yard"], rate_per_s: 10, burst: 10 };
const KEY = "key-school";
/** Of limited requests in any window: (rate x window + burst) x (1 + overshoot) + tolerance, by the settings of nodes.ts. */
const WINDOW_MS = 5000;
const MAX_LIMITED = Math.floor((LIMITED.rate_per_s * 5 + LIMITED.burst) * 1.1 + 10);

const FIRST = JSON.parse(fs.readFileSync("examples/first.json", "utf8")) as { routes: object[] };

function documentOf(revision: number, mark: string): object {
  const marked = { ...FIRST.routes[0], name: `mark-${mark}`, path_prefix: `/mark-${mark}/` };
  const tenants = [LIMITED, { name: "school", api_keys: [KEY] }];
  return { ...FIRST, revision, routes: [...FIRST.routes, marked], tenants };
}

interface Play {
  seen: history.History;
  revision: number;
  requests: number;
  failed: Map<string, number>;
  /** When requests of the limited tenant were served. */
  limitedAt: number[];
  isOver: boolean;
}

/** A client's request: to another router after a failure or a 503, while its time lasts. */
async function request(play: Play, key: string): Promise<void> {
  play.requests += 1;
  const startedAt = performance.now();
  let last = "no answer";
  for (let attempt = 0; performance.now() - startedAt < REQUEST_MS; attempt += 1) {
    const headers = {
      Host: "try.example",
      "Api-Key": key,
      "X-Cranewind-Request-Id": `q${play.requests}-${attempt}`,
      "X-Cranewind-Time-Budget-Ms": "2000",
    };
    const reply = await callers.call(nodes.frontOf((play.requests + attempt) % NODES), "POST", "/lookup/x", headers, "", REQUEST_MS);
    last = String(reply?.status ?? "no answer");
    if (reply?.status === 200 && key === LIMITED.api_keys[0]) play.limitedAt.push(performance.now());
    if (reply?.status === 200 || (reply?.status === 429 && key === LIMITED.api_keys[0])) return;
    await nodes.pause(50);
  }
  play.failed.set(last, (play.failed.get(last) ?? 0) + 1);
}

async function load(play: Play): Promise<void> {
  const open = new Set<Promise<void>>();
  for (let count = 0; !play.isOver; count += 1) {
    const sent = request(play, count % 2 === 0 ? KEY : LIMITED.api_keys[0]);
    open.add(sent);
    void sent.finally(() => open.delete(sent));
    await nodes.pause(REQUEST_EVERY_MS);
  }
  await Promise.all(open);
}

async function order(play: Play): Promise<void> {
  const addresses = Array.from({ length: NODES }, (_, index) => nodes.controlOf(index));
  const operator = new callers.OperatorCaller("operator", addresses, play.seen, documentOf);
  while (!play.isOver) {
    const reply = await operator.order(play.revision, play.revision + 1);
    if (reply === "confirmed") play.revision += 1;
    if (reply === "refused") throw new Error(`the order on ${play.revision} was refused`);
    await nodes.pause(reply === "confirmed" ? ORDER_EVERY_MS : 50);
  }
  while ((await operator.read()) === null) await nodes.pause(50);
}

async function untilReady(index: number): Promise<void> {
  while ((await callers.call(nodes.readinessOf(index), "GET", "/-/ready"))?.status !== 200) await nodes.pause(50);
}

async function untilConfirmed(index: number): Promise<void> {
  for (;;) {
    const reply = await callers.call(nodes.controlOf(index), "GET", "/-/status");
    if (reply?.status === 200 && (JSON.parse(reply.body) as { isSettled: boolean }).isSettled) return;
    await nodes.pause(50);
  }
}

async function restart(system: nodes.ProcessSystem, node: nodes.NodeProcess, index: number, program: string): Promise<void> {
  await nodes.leave(node);
  system.start(index, node.role, program, false);
  await (node.role === "router" ? untilReady(index) : untilConfirmed(index));
  console.log(`${node.name} runs this release`);
}

export interface UpgradeOptions {
  folder: string;
  from: string;
  to: string;
  isStopAll: boolean;
}

/** Whether no order was lost, no limit passed and no request failed. */
export async function run({ folder, from, to, isStopAll }: UpgradeOptions): Promise<boolean> {
  const system = new nodes.ProcessSystem(folder, NODES);
  await system.startStandIns();
  const play: Play = { seen: { sendings: [], reads: [] }, revision: 0, requests: 0, failed: new Map(), limitedAt: [], isOver: false };
  try {
    const controls = Array.from({ length: NODES }, (_, index) => system.start(index, "control", from, true));
    const routers = Array.from({ length: NODES }, (_, index) => system.start(index, "router", from, false));
    const orders = order(play);
    for (let index = 0; index < NODES; index += 1) await untilReady(index);
    await nodes.pause(CALM_MS);
    const clients = isStopAll ? Promise.resolve() : load(play);
    await nodes.pause(CALM_MS);
    if (isStopAll) await Promise.all(controls.map(nodes.leave));
    for (const [index, node] of controls.entries()) {
      if (isStopAll) system.start(index, "control", to, false);
      else await restart(system, node, index, to);
      if (!isStopAll) await nodes.pause(CALM_MS);
    }
    for (const [index, node] of routers.entries()) {
      await restart(system, node, index, to);
      if (!isStopAll) await nodes.pause(CALM_MS);
    }
    play.isOver = true;
    await Promise.all([orders, clients]);
    return tell(play);
  } finally {
    await system.end();
  }
}

function mostInWindow(times: readonly number[]): number {
  let most = 0;
  for (const [index, from] of times.entries()) {
    let count = 0;
    while (index + count < times.length && times[index + count] < from + WINDOW_MS) count += 1;
    most = Math.max(most, count);
  }
  return most;
}

function tell(play: Play): boolean {
  const { sendings, reads } = play.seen;
  const confirmed = sendings.filter(({ reply }) => reply === "confirmed").length;
  const newest = reads[reads.length - 1]?.revision;
  console.log(`orders: ${confirmed} confirmed, ${sendings.length - confirmed} sendings without a clear answer; read at the end: ${newest}`);
  const failed = [...play.failed].map(([what, count]) => `${count} with ${what}`).join(", ") || "none";
  console.log(`requests: ${play.requests}, failed: ${failed}`);
  const limited = mostInWindow([...play.limitedAt].sort((left, right) => left - right));
  console.log(`limited tenant: at most ${limited} served in a window, ${MAX_LIMITED} allowed`);
  const wrong = history.check(play.seen);
  console.log(wrong ?? "all that operators saw has one explanation");
  return wrong === null && newest === play.revision && play.failed.size === 0 && limited <= MAX_LIMITED;
}
