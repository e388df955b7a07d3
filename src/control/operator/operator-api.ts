/** The operators' API: Replace, Update, Describe, evacuations, batches, status (design 6.2). Any control node answers any request. */
import * as result from "true-myth/result";
import * as configurationCheck from "../../config/configuration-check.js";
import * as configurationChange from "../../config/configuration-change.js";
import * as registerValue from "../../register/register-value.js";
import type * as registerStep from "../../register/register-step.js";
import * as errors from "../../runtime/errors.js";
import * as log from "../../runtime/log.js";
import * as names from "../../wire/names.js";
import * as schema from "../../wire/schema.js";
import * as batchCalls from "../batches/batch-calls.js";
import * as orderFreshness from "./order-freshness.js";
import * as operatorPaths from "./operator-paths.js";
import * as rolloutCalls from "./rollout-calls.js";
import * as serve from "../../wire/serve.js";

const CHANGE_TIMEOUT_MS = 2600;

/** The register as the API uses it; see `RegisterReplica`. */
export interface OrderRegister {
  /** Has the order's step chosen, or resolves with the reason why not. */
  submitOrder(step: registerStep.Step, timeoutMs: number): Promise<registerStep.Outcome>;
  /** The newest chosen value, confirmed by a majority. */
  read(timeoutMs: number): Promise<registerStep.Outcome>;
}

/** The part of the API for batches, on deployments that have them. */
export interface Batches {
  reply(request: serve.HttpRequest): Promise<serve.HttpResponse>;
}

/** Answers the operators' requests at one control node. */
export class OperatorApi {
  constructor(
    private readonly register: OrderRegister,
    private readonly zones: ReadonlySet<string>,
    private readonly status: () => unknown,
    private readonly batches: Batches | null = null,
    private readonly rollouts: rolloutCalls.RolloutCalls | null = null,
  ) {}

  /** Routes a request by method and path; unknown ones are `not_found`. */
  handle(request: serve.HttpRequest): Promise<serve.HttpResponse> | serve.HttpResponse {
    const { method, path } = request;
    if (method === "POST" && path === operatorPaths.REPLACE) return this.handleOrder(request, configurationChange.parseReplace);
    if (method === "POST" && path === operatorPaths.UPDATE) return this.handleOrder(request, configurationChange.parseUpdate);
    if (method === "GET" && path === operatorPaths.DESCRIBE) return this.handleDescribe();
    if (method === "POST" && path.startsWith(operatorPaths.START_EVACUATION)) return this.handleEvacuation(request, true);
    if (method === "POST" && path.startsWith(operatorPaths.STOP_EVACUATION)) return this.handleEvacuation(request, false);
    if (path.startsWith(batchCalls.PREFIX)) return this.batches?.reply(request) ?? batchCalls.batchesAreOff();
    if (this.rollouts && rolloutCalls.RolloutCalls.handles(request)) return this.rollouts.reply(request);
    if (method === "GET" && path === "/-/status") return { status: 200, json: this.status() };
    return serve.errorReply(new errors.NotFoundError(`no call ${method} ${path}`, "see docs/operating.md for the calls"));
  }

  private async changeRegister(step: registerStep.Step, bodyOf: (value: schema.Value) => unknown): Promise<serve.HttpResponse> {
    const outcome = await this.register.submitOrder(step, CHANGE_TIMEOUT_MS);
    log.count(outcome.isOk ? "operator.taken" : `operator.${outcome.error.code}`);
    return outcome.isOk ? { status: 200, json: bodyOf(outcome.value) } : serve.errorReply(outcome.error);
  }

  /** Replace or Update: validated by its own bytes first, then decided by the register. */
  private handleOrder(
    request: serve.HttpRequest,
    parseOrder: typeof configurationChange.parseReplace,
  ): Promise<serve.HttpResponse> | serve.HttpResponse {
    const base = parseBase(request);
    if (base.isErr) return serve.errorReply(base.error);
    const step = parseOrder(base.value, request.body);
    return step.isErr ? serve.errorReply(step.error) : this.changeRegister(step.value, revisionBody);
  }

  private async handleDescribe(): Promise<serve.HttpResponse> {
    const outcome = await this.register.read(CHANGE_TIMEOUT_MS);
    if (outcome.isErr) return serve.errorReply(outcome.error);
    const document = registerValue.unpack(outcome.value.config);
    if (document === null)
      return serve.errorReply(new errors.NotFoundError("no configuration has been taken yet", "send Config.Replace with base version 0"));
    return { status: 200, json: document };
  }

  private handleEvacuation(request: serve.HttpRequest, isStart: boolean): Promise<serve.HttpResponse> | serve.HttpResponse {
    const { path } = request;
    const zone = decodeURIComponent(path.slice(path.lastIndexOf("/") + 1));
    if (!this.zones.has(zone))
      return serve.errorReply(new errors.NotFoundError(`no zone ${zone}`, "name one of the zones of the settings"));
    const step: registerStep.Step = (value) => result.ok(registerValue.withEvacuation(value, zone, isStart));
    return this.changeRegister(orderFreshness.whileFresh(request, step), evacuationsBody);
  }
}

function revisionBody(value: schema.Value): unknown {
  return { revision: value.revision };
}

function evacuationsBody(value: schema.Value): unknown {
  return { evacuations: value.evacuations };
}

function parseBase(request: serve.HttpRequest): result.Result<number, errors.CranewindError> {
  const header = request.headers[names.HEADER.base];
  const base = typeof header === "string" && header !== "" ? Number(header) : Number.NaN;
  if (Number.isSafeInteger(base) && base >= 0) return result.ok(base);
  return configurationCheck.invalid(
    names.HEADER.base,
    "it is missing or no whole number",
    "send the revision that the change builds on, 0 for the first",
  );
}
