/**
 * Plays batches beside interactive load and compares projected with seen waits (design/batch 12). Forecast, projection,
 * item queue and table are those of the control nodes; cells, arrivals and the register's rounds are models.
 */
import * as capacityForecast from "../batch/capacity-forecast.js";
import type * as projection from "../batch/projection.js";
import * as quotes from "../batch/quote.js";
import * as items from "../batch/items.js";
import * as steps from "../batch/steps.js";
import * as tables from "../batch/table.js";
import * as itemQueue from "../batch/item-queue.js";
import * as loads from "../forecast/loads.js";
import type * as schema from "../wire/batch-schema.js";
import * as batchCells from "./batch-cells.js";
import type * as batchScenario from "./batch-scenario.js";
import * as plannedClock from "./planned-clock.js";

const SECOND_MS = 1000;
const REPORT_INTERVAL_MS = 600;
const TABLE_UPDATE_INTERVAL_MS = 350;
const LOAD_REPORT_INTERVAL_S = 5;
const ROUTE = "interactive";
const SERVICE = "model";
const OWNER_INCARNATION = "owner";
/** Items of one batch differ by so much, as the standard deviation of the logarithm. */
const ITEM_SPREAD = 0.35;

/** One batch: what it was told, and what it saw. Milliseconds. */
export interface BatchRecord {
  number: number;
  atMs: number;
  count: number;
  /** Part of all places that interactive requests held when it was submitted. */
  interactiveLoad: number;
  quote: quotes.Quote;
  beganMs: number;
  endedMs: number;
}

/** One day; to be played once. The same scenario and seed give the same records. */
export class BatchDay {
  private readonly clock: plannedClock.PlannedClock;
  private readonly forecast: loads.LoadForecast;
  private readonly cells: batchCells.ModelCell[];
  private readonly itemsInFlight = new Map<string, itemQueue.InFlightAttempt>();
  private readonly ended: steps.EndedAttempt[] = [];
  private readonly queue: itemQueue.ItemQueue;
  private readonly heldMs = new Map<string, number>();
  private table: schema.BatchTable = { ...tables.EMPTY, owner: OWNER_INCARNATION, term: 1 };
  private changedAt = 0;
  constructor(private readonly scenario: batchScenario.BatchScenario) {
    this.clock = new plannedClock.PlannedClock(scenario.seed);
    this.forecast = new loads.LoadForecast(this.clock);
    this.cells = scenario.batch_regions.map((region) => new batchCells.ModelCell(region, scenario, this.clock));
    this.queue = new itemQueue.ItemQueue(this.clock, {
      serviceOf: () => SERVICE,
      capacitiesOf: (batch) => this.regionCapacity(batch.homes),
      prefillTokensOf: () => 0,
    });
  }

  private regionCapacity(homes: readonly string[]): capacityForecast.RegionCapacity[] {
    const here = this.cells.filter(({ region }) => homes.length === 0 || homes.includes(region.name));
    return here.map(({ region, reportedUse, batchItems }) => ({
      region: region.name,
      slots: region.places,
      used: reportedUse,
      waiting: Math.max(0, reportedUse - region.places),
      prefillTokensPerMs: Infinity,
      batchItems,
    }));
  }

  /** Plays the learning days, then every submission to the end of its batch. */
  async play(): Promise<BatchRecord[]> {
    const learningMs = this.scenario.learning_days * loads.DAY_MS;
    this.clock.schedule(0, () => this.simulateSecond(0));
    this.clock.schedule(0, () => this.updateReportedUse());
    const planned: { atMs: number; kind: batchScenario.BatchScenario["batches"][number] }[] = [];
    for (const kind of this.scenario.batches) {
      for (let turn = 0; turn < kind.times; turn += 1)
        planned.push({ atMs: learningMs + (kind.first_s + turn * kind.every_s) * SECOND_MS, kind });
    }
    planned.sort((left, right) => left.atMs - right.atMs);
    const records: BatchRecord[] = [];
    for (const { atMs, kind } of planned) {
      this.clock.play(atMs);
      records.push(await this.submit(kind));
    }
    while (tables.openBatches(this.table).length > 0) this.clock.play(this.clock.now() + SECOND_MS);
    for (const record of records) this.complete(record);
    return records;
  }

  private complete(record: BatchRecord): void {
    const batch = tables.findNumber(this.table, record.number);
    if (!batch) return;
    record.beganMs = batch.startedMs - batch.submittedMs;
    record.endedMs = batch.endedMs - batch.submittedMs;
  }

  private async submit(kind: batchScenario.BatchScenario["batches"][number]): Promise<BatchRecord> {
    this.advanceTable([]);
    // All cells count: batches before this one may run in others.
    const rooms = this.regionCapacity([]);
    const works: projection.BatchWork[] = tables.openBatches(this.table).map((batch) => this.workOf(batch));
    const pastErrors = capacityForecast.pastErrors(this.table);
    const own = {
      count: kind.count,
      occupancyMs: kind.item_held_ms,
      prefillTokens: 0,
      regions: new Set(this.regionCapacity(kind.homes).map((room) => room.region)),
    };
    const quote = await quotes.makeQuote({
      cells: capacityForecast.cellsOf(rooms, this.forecast, () => this.scenario.held_ms),
      works: [...works, own],
      finishWithinMs: 0,
      pastErrors,
      random: () => this.clock.random(),
      wantsTable: false,
    });
    const number = this.table.nextNumber;
    this.heldMs.set(String(number), kind.item_held_ms);
    this.submitToTable(kind, quote, number);
    return { number, atMs: this.clock.now(), count: kind.count, interactiveLoad: this.load(), quote, beganMs: 0, endedMs: 0 };
  }

  private workOf(batch: schema.Batch): projection.BatchWork {
    const counts = items.tally(batch.items);
    const regions = new Set(this.regionCapacity(batch.homes).map((room) => room.region));
    const count = (counts.get("waiting") ?? 0) + (counts.get("sent") ?? 0);
    return { count, occupancyMs: this.heldMs.get(batch.digest)!, prefillTokens: 0, regions };
  }

  private submitToTable(kind: batchScenario.BatchScenario["batches"][number], quote: quotes.Quote, number: number): void {
    const { end, begin, modelMs } = quote;
    const projected = {
      beginMs: begin.p50 ?? Infinity,
      endMs: end.p50 ?? Infinity,
      earlyEndMs: end.p05 ?? Infinity,
      lateEndMs: end.p95 ?? Infinity,
      modelMs: modelMs ?? Infinity,
    };
    const key = String(number);
    const submission = {
      key,
      digest: key,
      route: ROUTE,
      isRepeatable: true,
      count: kind.count,
      finishWithinMs: 0,
      homes: kind.homes,
      reservedBytes: 1,
      projected,
    };
    const outcome = steps.submit(this.table, submission);
    if (outcome.isErr) throw outcome.error;
    this.table = outcome.value;
    this.clock.schedule(TABLE_UPDATE_INTERVAL_MS, () => this.startDispatching());
  }

  /** Interactive load over all places. */
  private load(): number {
    let held = 0;
    let places = 0;
    for (const cell of this.cells) {
      held += cell.interactive;
      places += cell.region.places;
    }
    return held / places;
  }

  private advanceTable(sends: itemQueue.PlannedSend[]): void {
    const now = this.clock.now();
    const outcome = steps.advance(this.table, OWNER_INCARNATION, {
      term: 1,
      elapsedMs: now - this.changedAt,
      ended: this.ended.splice(0),
      sends,
    });
    if (outcome.isErr) throw outcome.error;
    this.table = outcome.value;
    this.changedAt = now;
  }

  /** The owner's loop, while a batch is open. */
  private startDispatching(): void {
    if (this.isDispatching) return;
    this.isDispatching = true;
    const turn = (): void => {
      const sends = this.queue.nextSends(this.table, this.itemsInFlight.values());
      this.advanceTable(sends);
      for (const send of sends) this.send(send);
      this.isDispatching = tables.openBatches(this.table).length > 0;
      if (this.isDispatching) this.clock.schedule(TABLE_UPDATE_INTERVAL_MS, turn);
    };
    turn();
  }

  private isDispatching = false;

  private send(send: itemQueue.PlannedSend): void {
    const cell = this.cells.find(({ region }) => region.name === send.region)!;
    const key = itemQueue.itemKey(send);
    this.itemsInFlight.set(key, { ...send, sentAt: this.clock.now() });
    cell.batchItems += 1;
    const heldMs = this.heldMs.get(String(send.number))! * Math.exp(ITEM_SPREAD * batchCells.normal(this.clock) - ITEM_SPREAD ** 2 / 2);
    this.clock.schedule(heldMs, () => {
      cell.batchItems -= 1;
      this.itemsInFlight.delete(key);
      this.ended.push({ ...send, end: "done" });
    });
  }

  /** Arrivals and ends of interactive requests, a second at a time. */
  private simulateSecond(index: number): void {
    for (const cell of this.cells) cell.simulateSecond();
    if (index % LOAD_REPORT_INTERVAL_S === 0) this.reportLoads();
    this.clock.schedule(SECOND_MS, () => this.simulateSecond(index + 1));
  }

  private reportLoads(): void {
    const { held_ms: heldMs } = this.scenario;
    const told = this.cells.map((cell) => ({ region: cell.region.name, route: ROUTE, arrivals: cell.arrivals, heldMs, unread: 0 }));
    this.forecast.take({ spanMs: LOAD_REPORT_INTERVAL_S * SECOND_MS, readRate: 0, loads: told });
    for (const cell of this.cells) cell.arrivals = 0;
    this.forecast.turn();
  }

  private updateReportedUse(): void {
    for (const cell of this.cells) cell.reportedUse = cell.interactive + cell.batchItems;
    this.clock.schedule(REPORT_INTERVAL_MS, () => this.updateReportedUse());
  }
}
