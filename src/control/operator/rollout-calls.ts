/** The operators' calls on roll-outs (design/rollouts 7): answered at any control node that a majority confirms. */
import type * as configurationCheck from "../../config/configuration-check.js";
import * as dutyTable from "../../duties/duty-table.js";
import * as rollout from "../../rollout/rollout.js";
import type * as registerStep from "../../register/register-step.js";
import * as errors from "../../runtime/errors.js";
import * as log from "../../runtime/log.js";
import type * as schema from "../../wire/schema.js";
import * as serve from "../../wire/serve.js";
import * as orderFreshness from "./order-freshness.js";
import * as operatorPaths from "./operator-paths.js";

const CHANGE_TIMEOUT_MS = 2600;
const MS_PER_S = 1000;

/** What the calls need of their control node. */
export interface RolloutDependencies {
  /** The duty register. */
  register: {
    submitOrder(step: registerStep.Step, timeoutMs: number): Promise<registerStep.Outcome>;
    read(timeoutMs: number): Promise<registerStep.Outcome>;
  };
  /** The newest configuration; null: none was taken yet. */
  configuration(): configurationCheck.Configuration | null;
  /** The agreed time of day, in milliseconds since the start of 1970. */
  timeOfDayMs(): number;
}

/** Answers the calls at one control node. */
export class RolloutCalls {
  constructor(private readonly dependencies: RolloutDependencies) {}

  /** Whether the call is one on roll-outs. */
  static handles({ path }: serve.HttpRequest): boolean {
    return path === operatorPaths.START_ROLLOUT || path.startsWith(operatorPaths.DESCRIBE_ROLLOUT);
  }

  reply(request: serve.HttpRequest): Promise<serve.HttpResponse> | serve.HttpResponse {
    const { method, path } = request;
    if (method === "POST" && path === operatorPaths.START_ROLLOUT) return this.start(request);
    if (method === "GET" && path.startsWith(operatorPaths.DESCRIBE_ROLLOUT))
      return this.describe(decodeURIComponent(path.slice(operatorPaths.DESCRIBE_ROLLOUT.length)));
    return serve.errorReply(new errors.NotFoundError(`no call ${method} ${path}`, "see docs/operating.md for the calls"));
  }

  private async start(request: serve.HttpRequest): Promise<serve.HttpResponse> {
    const parsed = rollout.parseOrder(request.body);
    if (parsed.isErr) return serve.errorReply(parsed.error);
    const order = parsed.value;
    const config = this.dependencies.configuration();
    if (!config) return serve.errorReply(new errors.NotReadyError("this node knows no configuration yet", "send the call again shortly"));
    if (!config.services.some(({ name }) => name === order.service))
      return serve.errorReply(new errors.InvalidRequestError(`service: unknown service ${order.service}`, "name one of the configuration"));
    const step = rollout.startStep(order, this.dependencies.timeOfDayMs());
    const outcome = await this.dependencies.register.submitOrder(orderFreshness.whileFresh(request, step), CHANGE_TIMEOUT_MS);
    log.count(outcome.isOk ? "rollout.taken" : `rollout.${outcome.error.code}`);
    return outcome.isOk ? { status: 200, json: describe(outcome.value, order.service) } : serve.errorReply(outcome.error);
  }

  private async describe(service: string): Promise<serve.HttpResponse> {
    const outcome = await this.dependencies.register.read(CHANGE_TIMEOUT_MS);
    if (outcome.isErr) return serve.errorReply(outcome.error);
    const json = describe(outcome.value, service);
    return json
      ? { status: 200, json }
      : serve.errorReply(new errors.NotFoundError(`no roll-out of ${service}`, "start one by Rollouts.Start"));
  }
}

function describe(value: schema.Value, service: string): object | null {
  const found = dutyTable.tableOf(value).rollouts.find((item) => item.service === service);
  return found ? { state: found.state, target_version: found.version, duration_s: found.durationMs / MS_PER_S } : null;
}
