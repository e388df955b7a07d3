/**
 * The operator's calls on batches (design/batch 10): Quote, Submit, Status, Results, Cancel, List. Any control node with
 * batches on accepts any. A quote only reads; a submission is answered once its record and its queue position are durable.
 */
import * as result from "true-myth/result";
import * as bounds from "../../batch/bounds.js";
import * as items from "../../batch/items.js";
import * as capacityForecast from "../../batch/capacity-forecast.js";
import * as batchOwner from "../../batch/batch-owner.js";
import * as quotes from "../../batch/quote.js";
import * as records from "../../batch/records.js";
import type * as replicas from "../../batch/replicas.js";
import * as steps from "../../batch/steps.js";
import * as submissions from "../../batch/submission.js";
import * as tables from "../../batch/table.js";
import * as errors from "../../runtime/errors.js";
import * as log from "../../runtime/log.js";
import * as batchSchema from "../../wire/batch-schema.js";
import type * as types from "../../wire/types.js";
import type * as batchView from "./batch-view.js";
import type * as registerReplica from "../register-replica.js";
import * as serve from "../../wire/serve.js";

/** A majority of the batch register replies within this time, or the call fails. */
const CHANGE_TIMEOUT_MS = 2600;
/** Results in one response. */
const MAX_RESULTS = 100;

/** What the calls are answered with. */
export interface BatchDependencies {
  readonly clock: types.Clock;
  readonly register: Pick<registerReplica.RegisterReplica, "chosen" | "submitOrder" | "read">;
  readonly replicas: Pick<replicas.Replicas, "put" | "find">;
  readonly view: batchView.BatchView;
  readonly forecast: Parameters<typeof capacityForecast.cellsOf>[1];
}

type Rejection = errors.CranewindError;

/** Prefix of all paths. */
export const PREFIX = "/-/Batches.";

/** Replies to every call on batches; holds no state. */
export class BatchCalls {
  constructor(private readonly needs: BatchDependencies) {}

  /** Replies to any path that begins with PREFIX. */
  async reply(request: serve.HttpRequest): Promise<serve.HttpResponse> {
    const { method, path } = request;
    const [call, argument] = path.slice(PREFIX.length).split("/");
    if (method === "POST" && call === "Quote") return this.quote(request);
    if (method === "POST" && call === "Submit") return this.submit(request.body);
    if (method === "POST" && call === "Cancel") return this.withNumber(argument, (number) => this.cancel(number));
    if (method === "GET" && call === "Status") return this.withNumber(argument, (number) => this.status(number));
    if (method === "GET" && call === "Results") return this.withNumber(argument, (number) => this.results(number, request.query));
    if (method === "GET" && call === "List") return this.list();
    return serve.errorReply(new errors.NotFoundError(`no call ${method} ${path}`, "see docs/batch.md for the calls"));
  }

  private withNumber(
    argument: string | undefined,
    run: (number: number) => Promise<serve.HttpResponse>,
  ): Promise<serve.HttpResponse> | serve.HttpResponse {
    const number = Number(argument);
    if (Number.isSafeInteger(number) && number > 0) return run(number);
    return serve.errorReply(new errors.UsageError(`${argument ?? "nothing"} is no number of a batch`, "cranewind batch list shows all"));
  }

  /** The table as this node knows it; it may lag behind the register. */
  private get table(): batchSchema.BatchTable {
    const { chosen } = this.needs.register;
    return chosen ? tables.tableOf(chosen) : tables.EMPTY;
  }

  private async quote(request: serve.HttpRequest): Promise<serve.HttpResponse> {
    const outline = submissions.parseOutline(request.body);
    if (outline.isErr) return serve.errorReply(outline.error);
    const rejection = this.check(outline.value);
    if (rejection) return serve.errorReply(rejection);
    return { status: 200, json: await this.project(outline.value, request.query.get("table") === "true") };
  }

  /** The route must be there, and some region must be allowed. */
  private check(outline: submissions.Outline): Rejection | null {
    const { view } = this.needs;
    const service = view.serviceOf(outline.route);
    if (service === null)
      return new errors.InvalidRequestError(`route: there is no route ${outline.route}`, "name a route of the configuration in force");
    if (view.capacitiesOf(outline, service).length > 0) return null;
    return new errors.NotReadyError(
      `no runner of ${service} reports in a region that is allowed`,
      "check homes, evacuations and the runners",
    );
  }

  private async project(outline: submissions.Outline, wantsTable: boolean): Promise<object> {
    const { view, forecast, clock } = this.needs;
    const { table } = this;
    const service = view.serviceOf(outline.route)!;
    const capacities = view.capacitiesWithBatches(service, table);
    const pastErrors = capacityForecast.pastErrors(table);
    const quote = await quotes.makeQuote({
      cells: capacityForecast.cellsOf(capacities, forecast, (route) => view.typicalOccupancyMs(route)),
      works: [...view.workAhead(table, service), view.workOf(outline, outline.count)],
      finishWithinMs: outline.finish_within_s * 1000,
      pastErrors,
      random: () => clock.random(),
      wantsTable,
    });
    const confidence = capacityForecast.confidenceOf(view.capacitiesOf(outline, service), forecast, pastErrors.count);
    if (!view.hasRouteLoads(outline.route)) confidence.reasons.push(`no request of ${outline.route} was seen yet`);
    return { ...quote, confidence: { ...confidence, isSure: confidence.reasons.length === 0 }, medianError: pastErrors.medianError() };
  }

  private async submit(body: Buffer): Promise<serve.HttpResponse> {
    const parsed = submissions.parse(body);
    if (parsed.isErr) return serve.errorReply(parsed.error);
    const submission = parsed.value;
    const outline = submissions.outlineOf(submission);
    const rejection = this.check(outline);
    if (rejection) return serve.errorReply(rejection);
    const digest = submissions.digestOf(body);
    const quote = (await this.project(outline, false)) as quotes.Quote;
    if (!(await this.needs.replicas.put({ digest, ...records.SUBMISSION }, body))) return serve.errorReply(notDurable());
    const step = batchOwner.registrationStep((table) => steps.submit(table, this.order(submission, body, digest, quote)));
    const outcome = await this.needs.register.submitOrder(step, CHANGE_TIMEOUT_MS);
    log.count(outcome.isOk ? "batch.submitted" : `batch.submit_${outcome.error.code}`);
    if (outcome.isErr) return serve.errorReply(outcome.error);
    const table = tables.tableOf(outcome.value);
    const accepted = tables.findKey(table, submission.key)!;
    return { status: 200, json: { number: accepted.number, place: tables.placeOf(table, accepted.number), quote } };
  }

  private order(submission: submissions.Submission, body: Buffer, digest: string, quote: quotes.Quote): steps.Submission {
    const route = this.needs.view.routeOf(submission.route)!;
    return {
      key: submission.key,
      digest,
      route: submission.route,
      isRepeatable: this.needs.view.isRepeatable(route),
      count: submission.items.length,
      finishWithinMs: submission.finish_within_s * 1000,
      homes: submission.homes,
      reservedBytes: submissions.reservedBytes(body, submission),
      projected: projectedOf(quote),
    };
  }

  private async cancel(number: number): Promise<serve.HttpResponse> {
    const step = batchOwner.registrationStep((table) => steps.cancel(table, number));
    const outcome = await this.needs.register.submitOrder(step, CHANGE_TIMEOUT_MS);
    if (outcome.isErr) return serve.errorReply(outcome.error);
    return this.describeBatch(tables.tableOf(outcome.value), number);
  }

  /** Read at a majority, so that a submission that was acknowledged is there. */
  private async status(number: number): Promise<serve.HttpResponse> {
    const read = await this.read();
    return read.isOk ? this.describeBatch(read.value, number) : serve.errorReply(read.error);
  }

  private describeBatch(table: batchSchema.BatchTable, number: number): serve.HttpResponse {
    const batch = tables.findNumber(table, number);
    return batch ? { status: 200, json: statusOf(table, batch) } : serve.errorReply(noBatch(number));
  }

  private async list(): Promise<serve.HttpResponse> {
    const read = await this.read();
    if (read.isErr) return serve.errorReply(read.error);
    const table = read.value;
    const batches = table.batches.map((batch) => statusOf(table, batch));
    return { status: 200, json: { batches, bounds: { open: bounds.MAX_OPEN, items: bounds.MAX_ITEMS, bytes: bounds.MAX_BYTES } } };
  }

  private async read(): Promise<result.Result<batchSchema.BatchTable, Rejection>> {
    const outcome = await this.needs.register.read(CHANGE_TIMEOUT_MS);
    return outcome.isOk ? result.ok(tables.tableOf(outcome.value)) : result.err(outcome.error);
  }

  private async results(number: number, query: URLSearchParams): Promise<serve.HttpResponse> {
    const from = Number(query.get("from") ?? 0);
    if (!Number.isSafeInteger(from) || from < 0)
      return serve.errorReply(new errors.UsageError(`from=${query.get("from")}`, "give the index of an item"));
    const read = await this.read();
    if (read.isErr) return serve.errorReply(read.error);
    const batch = tables.findNumber(read.value, number);
    if (!batch) return serve.errorReply(noBatch(number));
    const found = await this.needs.replicas.find({ digest: batch.digest, ...records.SUBMISSION });
    const submission = found.kind === "found" ? submissions.parse(found.body) : null;
    if (!submission?.isOk) return serve.errorReply(unreadable(number));
    const end = Math.min(items.countOf(batch.items), from + MAX_RESULTS);
    const results: object[] = [];
    for (let index = from; index < end; index += 1) results.push(await this.resultOf(batch, index, submission.value.items[index].id));
    return { status: 200, json: { number, from, items: results, next: end < items.countOf(batch.items) ? end : null } };
  }

  private async resultOf(batch: batchSchema.Batch, index: number, id: string): Promise<object> {
    const { state, attempt } = items.itemAt(batch.items, index);
    if (state !== "done") return { id, state };
    const found = await this.needs.replicas.find({ digest: batch.digest, item: index, attempt });
    if (found.kind !== "found") return { id, state, result: null };
    const { status, contentType, seal, body } = batchSchema.itemResult.fromBuffer(found.body);
    return { id, state, result: { status, contentType, seal, body: body.toString("utf8") } };
  }
}

function notDurable(): Rejection {
  return new errors.NoQuorumError("the batch could not be stored at a majority of the core", "send the call again, to any control node");
}

function noBatch(number: number): Rejection {
  return new errors.NotFoundError(`there is no batch ${number}`, "cranewind batch list shows all");
}

function unreadable(number: number): Rejection {
  return new errors.NoQuorumError(`batch ${number} can't be read from any node in touch`, "send the call again, to any control node");
}

function projectedOf(quote: quotes.Quote): batchSchema.Projection | null {
  const { begin, end, modelMs } = quote;
  if (begin.p50 === null || end.p50 === null || end.p05 === null || end.p95 === null || modelMs === null) return null;
  return { beginMs: begin.p50, endMs: end.p50, earlyEndMs: end.p05, lateEndMs: end.p95, modelMs };
}

/** A batch as Status and List show it; docs/batch.md names the fields. Times are milliseconds since its submission. */
function statusOf(table: batchSchema.BatchTable, batch: batchSchema.Batch): object {
  const since = (clockMs: number): number | null => (clockMs > 0 ? Math.max(0, clockMs - batch.submittedMs) : null);
  return {
    number: batch.number,
    key: batch.key,
    route: batch.route,
    state: batch.isCancelled ? "cancelled" : batch.endedMs > 0 ? "ended" : batch.startedMs > 0 ? "running" : "waiting",
    place: tables.placeOf(table, batch.number),
    items: Object.fromEntries(items.tally(batch.items)),
    homes: batch.homes,
    ageMs: table.clockMs - batch.submittedMs,
    startedMs: since(batch.startedMs),
    endedMs: since(batch.endedMs),
    wantedWithinMs: since(batch.dueMs),
    projected: batch.projected,
  };
}

/** What control nodes with the setting `batches` off reply. */
export function batchesAreOff(): serve.HttpResponse {
  return serve.errorReply(new errors.NotFoundError("batches are off on this node", "set batches=on in the settings of all control nodes"));
}
