// Operators over a simulated core: the real operators' API at each node, with answers lost and orders sent again.
import type * as http from "node:http";
import * as operatorApi from "../../src/control/operator/operator-api.js";
import * as stepQueue from "../../src/register/step-queue.js";
import type * as proposer from "../../src/register/proposer.js";
import type * as registerStep from "../../src/register/register-step.js";
import * as registerValue from "../../src/register/register-value.js";
import type * as schema from "../../src/wire/schema.js";
import * as result from "true-myth/result";
import * as serve from "../../src/wire/serve.js";
import type * as simRegister from "./sim-register.js";
import type * as simulatedClock from "./simulated-clock.js";

export const ZONES = ["north", "south", "east", "west"];
/** A caller without an answer retries at another node after this time. */
const CALLER_TIMEOUT_MS = 1000;
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 800;

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

export function orderIdOf(order: Order): string {
  return registerValue.digest(order.path.endsWith("Replace") ? "replace" : "update", String(order.base), order.body);
}

function unchanged(value: schema.Value): ReturnType<registerStep.Step> {
  return result.ok(value);
}

/** The register of a control node as the operators' API uses it. */
class NodeRegister implements operatorApi.OrderRegister {
  private readonly queue: stepQueue.StepQueue;
  constructor(clock: simulatedClock.SimulatedClock, proposer: proposer.Proposer) {
    this.queue = new stepQueue.StepQueue(clock, proposer.change.bind(proposer));
  }
  submitOrder(step: registerStep.Step, timeoutMs: number): Promise<registerStep.Outcome> {
    return this.queue.change(step, timeoutMs);
  }
  read(timeoutMs: number): Promise<registerStep.Outcome> {
    return this.queue.change(unchanged, timeoutMs);
  }
}

export class Operators {
  /** Share of the answers that are lost; their orders arrived. */
  answerLossShare = 0;
  private readonly apis = new Map<proposer.Proposer, operatorApi.OperatorApi>();

  constructor(private readonly core: simRegister.SimRegister) {}

  private apiOf(node: simRegister.SimNode): operatorApi.OperatorApi {
    let api = this.apis.get(node.proposer);
    if (!api) {
      const register = new NodeRegister(this.core.clock, node.proposer);
      api = new operatorApi.OperatorApi(register, new Set(ZONES), () => null);
      this.apis.set(node.proposer, api);
    }
    return api;
  }

  /** One request to one node; null without an answer in time: the order may have been applied, or be applied later. */
  async call(address: string, order: Order, timeoutMs = CALLER_TIMEOUT_MS): Promise<number | null> {
    const node = this.core.nodes.get(address)!;
    if (!node.isUp) return null;
    const { proposer } = node;
    const headers: http.IncomingHttpHeaders = { "x-cranewind-base-version": String(order.base) };
    const request = {
      method: "POST",
      path: order.path,
      query: new URLSearchParams(),
      headers,
      body: order.body,
      caller: serve.LOCAL_CALLER,
    };
    const reply = Promise.resolve(this.apiOf(node).handle(request));
    const response = await Promise.race([reply, this.core.wait(timeoutMs)]);
    // A process that ended meanwhile sends no answer.
    if (!response || !node.isUp || node.proposer !== proposer) return null;
    return this.core.clock.random() < this.answerLossShare ? null : response.status;
  }

  /** Retries as an operator does: at the next node after a failure, a 5xx or a time-out, until the outcome is clear. */
  async send(order: Order, addresses: readonly string[], timeoutMs = 20_000): Promise<number | null> {
    const { clock } = this.core;
    const deadline = clock.now() + timeoutMs;
    let backoffMs = INITIAL_BACKOFF_MS;
    for (let attempt = 0; clock.now() < deadline; attempt += 1) {
      const status = await this.call(addresses[attempt % addresses.length], order);
      if (status !== null && status < 500) return status;
      await this.core.wait(backoffMs * (0.5 + clock.random()));
      backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    }
    return null;
  }
}
