// The operator's calls: Replace, Update, Describe, Evacuations (design 6.2). Any control node takes any.
import * as result from "true-myth/result";
import * as check from "../../config/check.js";
import * as change from "../../config/change.js";
import * as registerValue from "../../register/register-value.js";
import type * as registerStep from "../../register/register-step.js";
import * as errors from "../../runtime/errors.js";
import * as log from "../../runtime/log.js";
import * as names from "../../wire/names.js";
import * as schema from "../../wire/schema.js";
import * as batchCalls from "../batches/batch-calls.js";
import type * as registerReplica from "../register-replica.js";
import * as operatorPaths from "./operator-paths.js";
import * as serve from "../../wire/serve.js";

const CHANGE_MS = 2600;

/** The calls on batches, where they are on. */
export interface Batches {
  reply(asked: serve.Asked): Promise<serve.Told>;
}

/** Replies to the operator's calls at one control node. */
export class Operator {
  constructor(
    private readonly register: registerReplica.RegisterReplica,
    private readonly zones: ReadonlySet<string>,
    private readonly status: () => unknown,
    private readonly batches: Batches | null = null,
  ) {}

  reply(asked: serve.Asked): Promise<serve.Told> | serve.Told {
    const { method, path } = asked;
    if (method === "POST" && path === operatorPaths.REPLACE) return this.order(asked, change.replaceOrder);
    if (method === "POST" && path === operatorPaths.UPDATE) return this.order(asked, change.updateOrder);
    if (method === "GET" && path === operatorPaths.DESCRIBE) return this.describe();
    if (method === "POST" && path.startsWith(operatorPaths.START_EVACUATION)) return this.evacuate(path, true);
    if (method === "POST" && path.startsWith(operatorPaths.STOP_EVACUATION)) return this.evacuate(path, false);
    if (path.startsWith(batchCalls.PREFIX)) return this.batches?.reply(asked) ?? batchCalls.off();
    if (method === "GET" && path === "/-/status") return { status: 200, json: this.status() };
    return serve.errorReply(new errors.NotFoundError(`no call ${method} ${path}`, "see docs/operating.md for the calls"));
  }

  private async run(step: registerStep.Step, told: (value: schema.Value) => unknown): Promise<serve.Told> {
    const outcome = await this.register.submitOrder(step, CHANGE_MS);
    log.count(outcome.isOk ? "operator.taken" : `operator.${outcome.error.code}`);
    return outcome.isOk ? { status: 200, json: told(outcome.value) } : serve.errorReply(outcome.error);
  }

  /** Replace or Update: judged by its own bytes first, then by the register. */
  private order(asked: serve.Asked, orderOf: typeof change.replaceOrder): Promise<serve.Told> | serve.Told {
    const base = baseOf(asked);
    if (base.isErr) return serve.errorReply(base.error);
    const step = orderOf(base.value, asked.body);
    return step.isErr ? serve.errorReply(step.error) : this.run(step.value, revisionOf);
  }

  private async describe(): Promise<serve.Told> {
    const outcome = await this.register.read(CHANGE_MS);
    if (outcome.isErr) return serve.errorReply(outcome.error);
    const document = registerValue.unpack(outcome.value.config);
    if (document === null)
      return serve.errorReply(new errors.NotFoundError("no configuration has been taken yet", "send Config.Replace with base version 0"));
    return { status: 200, json: document };
  }

  private evacuate(path: string, isStart: boolean): Promise<serve.Told> | serve.Told {
    const zone = decodeURIComponent(path.slice(path.lastIndexOf("/") + 1));
    if (!this.zones.has(zone))
      return serve.errorReply(new errors.NotFoundError(`no zone ${zone}`, "name one of the zones of the settings"));
    function step(value: schema.Value): ReturnType<registerStep.Step> {
      return result.ok(registerValue.withEvacuation(value, zone, isStart));
    }
    return this.run(step, evacuationsOf);
  }
}

function revisionOf(value: schema.Value): unknown {
  return { revision: value.revision };
}

function evacuationsOf(value: schema.Value): unknown {
  return { evacuations: value.evacuations };
}

function baseOf(asked: serve.Asked): result.Result<number, errors.CranewindError> {
  const header = asked.headers[names.HEADER.base];
  const base = typeof header === "string" && header !== "" ? Number(header) : Number.NaN;
  if (Number.isSafeInteger(base) && base >= 0) return result.ok(base);
  return check.invalid(
    names.HEADER.base,
    "it is missing or no whole number",
    "send the revision that the change builds on, 0 for the first",
  );
}
