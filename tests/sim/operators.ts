// Operators over a simulated core: the real calls of operator.ts at each node, with answers lost and orders sent again.
import type * as http from "node:http";
import * as operators from "../../src/control/operator/operator.js";
import type * as registerReplica from "../../src/control/register-replica.js";
import * as stepQueue from "../../src/register/step-queue.js";
import type * as proposer from "../../src/register/proposer.js";
import type * as registerStep from "../../src/register/register-step.js";
import * as registerValue from "../../src/register/register-value.js";
import type * as schema from "../../src/wire/schema.js";
import * as result from "true-myth/result";
import type * as cores from "./core.js";
import type * as sim from "./world.js";

export const ZONES = ["north", "south", "east", "west"];
/** A caller goes on to another node after so long without an answer. */
const SILENT_MS = 1000;
const FIRST_PAUSE_MS = 100;
const MAX_PAUSE_MS = 800;

export interface Order {
  path: string;
  base: number;
  body: Buffer;
}

type Document = Record<string, unknown>;

export function documentOf(revision: number, routes: readonly string[]): Document {
  return { revision, routes: routes.map(routeOf), services: [{ name: "s" }] };
}

export function routeOf(name: string): Document {
  return { name, hostname: "h.example", path_prefix: `/${name}/`, route_type: "mutating", deadline_ms: 1000, service: "s" };
}

export function replaceOf(base: number, revision: number, name: string): Order {
  return { path: "/-/Config.Replace", base, body: Buffer.from(JSON.stringify(documentOf(revision, ["first", name]))) };
}

export function updateOf(base: number, revision: number, name: string): Order {
  const update = { revision, upsert: { routes: [routeOf(name)] } };
  return { path: "/-/Config.Update", base, body: Buffer.from(JSON.stringify(update)) };
}

export function evacuationOf(zone: string, isStart: boolean): Order {
  return { path: `/-/Evacuations.${isStart ? "Start" : "Stop"}/${zone}`, base: 0, body: Buffer.alloc(0) };
}

export function markOf(order: Order): string {
  return registerValue.digest(order.path.endsWith("Replace") ? "replace" : "update", String(order.base), order.body);
}

function unchanged(value: schema.Value): ReturnType<registerStep.Step> {
  return result.ok(value);
}

/** The part of a control node's core that operators' calls use. */
class NodeRegister {
  private readonly queue: stepQueue.StepQueue;
  constructor(clock: sim.SimWorld, proposer: proposer.Proposer) {
    this.queue = new stepQueue.StepQueue(clock, proposer.change.bind(proposer));
  }
  order(step: registerStep.Step, withinMs: number): Promise<registerStep.Outcome> {
    return this.queue.change(step, withinMs);
  }
  read(withinMs: number): Promise<registerStep.Outcome> {
    return this.queue.change(unchanged, withinMs);
  }
}

export class Operators {
  /** The part of answers that are lost on their way; the order arrived. */
  answerLossShare = 0;
  private readonly desks = new Map<proposer.Proposer, operators.Operator>();

  constructor(private readonly core: cores.SimCore) {}

  private deskOf(node: cores.SimNode): operators.Operator {
    let desk = this.desks.get(node.proposer);
    if (!desk) {
      const register = new NodeRegister(this.core.clock, node.proposer) as unknown as registerReplica.RegisterReplica;
      desk = new operators.Operator(register, new Set(ZONES), () => null);
      this.desks.set(node.proposer, desk);
    }
    return desk;
  }

  /** One call at one node; null without an answer in time: the order may have been taken, or be taken yet. */
  async call(address: string, order: Order, withinMs = SILENT_MS): Promise<number | null> {
    const node = this.core.nodes.get(address)!;
    if (!node.isUp) return null;
    const { proposer: proposer } = node;
    const headers: http.IncomingHttpHeaders = { "x-cranewind-base-version": String(order.base) };
    const asked = { method: "POST", path: order.path, query: new URLSearchParams(), headers, body: order.body };
    const reply = Promise.resolve(this.deskOf(node).reply(asked));
    const told = await Promise.race([reply, this.core.wait(withinMs)]);
    // A process that ended meanwhile answers nobody.
    if (!told || !node.isUp || node.proposer !== proposer) return null;
    return this.core.clock.random() < this.answerLossShare ? null : told.status;
  }

  /** As an operator sends: to the next node after a failure, a 5xx or silence, until the answer is clear. */
  async send(order: Order, addresses: readonly string[], withinMs = 20_000): Promise<number | null> {
    const { clock } = this.core;
    const until = clock.now() + withinMs;
    let pause = FIRST_PAUSE_MS;
    for (let attempt = 0; clock.now() < until; attempt += 1) {
      const status = await this.call(addresses[attempt % addresses.length], order);
      if (status !== null && status < 500) return status;
      await this.core.wait(pause * (0.5 + clock.random()));
      pause = Math.min(MAX_PAUSE_MS, pause * 2);
    }
    return null;
  }
}
