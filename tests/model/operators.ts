// The operators: they send orders to any node, send unclear ones again, read, and note what they saw.
import * as configurationChange from "../../src/config/configuration-change.js";
import * as registerValue from "../../src/register/register-value.js";
import type * as errors from "../../src/runtime/errors.js";
import type * as registerStep from "../../src/register/register-step.js";
import * as result from "true-myth/result";
import type * as schema from "../../src/wire/schema.js";
import type * as histories from "./history.js";
import type * as mutations from "./mutations.js";
import type * as nodes from "./node.js";
import type * as clock from "./clock.js";

const CALL_MS = 2600;

interface Order {
  mark: string;
  base: number;
  revision: number;
  step: registerStep.Step;
}

function replaceStep(base: number, body: Buffer): registerStep.Step {
  return configurationChange.parseReplace(base, body).unwrapOrElse(fail);
}

function fail(error: errors.CranewindError): never {
  throw new Error(error.message);
}

function unchanged(read: schema.Value): ReturnType<registerStep.Step> {
  return result.ok(read);
}

/** The order that made a value, read from its configuration. */
export function markOf(value: schema.Value): string {
  const document = registerValue.unpack(value.config) as { mark: string } | null;
  return document?.mark ?? "";
}

export class Operators {
  readonly history: histories.History = { sendings: [], reads: [] };
  readonly orders: Order[] = [];
  private readonly bases: number[] = [0];

  constructor(
    private readonly clock: clock.ModelClock,
    private readonly mutations: mutations.Mutations,
  ) {}

  /** A new order on the newest base known, or on the one before. */
  create(isStale: boolean): Order {
    const base = this.bases[Math.max(0, this.bases.length - (isStale ? 2 : 1))];
    const revision = base + 1 + Math.floor(this.clock.random() * 2);
    const mark = `order-${this.orders.length}`;
    const document = { revision, routes: [], services: [], mark };
    const body = Buffer.from(JSON.stringify(document));
    const order = { mark, base, revision, step: this.mutations.orderStep(replaceStep(base, body)) };
    this.orders.push(order);
    return order;
  }

  /** Resolves once the node has replied; never, if its process ends before. */
  async send(node: nodes.ModelNode, order: Order, isReplyLost = false): Promise<histories.Sending> {
    const { mark, base, revision } = order;
    const sending: histories.Sending = { mark, base, revision, startMs: this.clock.now(), endMs: Infinity, reply: "unclear" };
    this.history.sendings.push(sending);
    const outcome = await node.change(order.step, CALL_MS);
    if (!outcome || isReplyLost) return sending;
    sending.endMs = this.clock.now();
    if (outcome.isOk) {
      sending.reply = "confirmed";
      this.know(revision);
    } else if (outcome.error.code === "race" || outcome.error.code === "invalid") sending.reply = "refused";
    return sending;
  }

  async read(node: nodes.ModelNode): Promise<histories.Read | null> {
    const startMs = this.clock.now();
    const outcome = await node.change(unchanged, CALL_MS);
    if (!outcome?.isOk) return null;
    const { value } = outcome;
    const read = { revision: value.revision, mark: markOf(value), startMs, endMs: this.clock.now() };
    this.history.reads.push(read);
    this.know(value.revision);
    return read;
  }

  private know(revision: number): void {
    if (revision > this.bases[this.bases.length - 1]) this.bases.push(revision);
  }
}
