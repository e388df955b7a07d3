/** The operator of an experiment: one change after the other, each on top of the one before (design/experiment 3). */
import * as client from "../cli/client.js";
import * as errors from "../runtime/errors.js";
import * as types from "../wire/types.js";
import * as timers from "../runtime/timers.js";
import * as measuringClock from "./measuring-clock.js";
import type * as layout from "./layout.js";
import type * as experiment from "./options.js";
import * as routers from "./routers.js";
import * as rows from "./rows.js";

/** A change that was confirmed; times are milliseconds of the machine's clock. */
interface AcknowledgedChange {
  revision: number;
  sentMs: number;
  atMs: number;
}

const DEADLINES_MS = [10_000, 20_000];

/** Sends changes and keeps the times of those acknowledged. */
export class Changes {
  private revision = 0;
  private sent = 0;
  private bytes = 0;
  private acknowledged: AcknowledgedChange[] = [];

  constructor(
    private readonly clock: types.Clock,
    private readonly options: experiment.Options,
    private readonly layout: layout.Layout,
  ) {}

  get newest(): number {
    return this.revision;
  }

  private async send(path: string, document: unknown, revision: number): Promise<errors.CranewindError | null> {
    const controls = this.layout.controls();
    const start = this.sent % controls.length;
    const body = Buffer.from(JSON.stringify(document));
    const headers = { "Content-Type": "application/json", "X-Cranewind-Base-Version": String(this.revision) };
    const sentMs = measuringClock.machineMs();
    this.sent += 1;
    const outcome = await client.send(this.clock, [...controls.slice(start), ...controls.slice(0, start)], {
      method: "POST",
      path,
      headers,
      body,
    });
    if (outcome.isErr) return outcome.error;
    this.revision = revision;
    this.bytes = body.length;
    this.acknowledged.push({ revision, sentMs, atMs: measuringClock.machineMs() });
    return null;
  }

  /** The first configuration, sent again until it is taken. */
  async first(): Promise<errors.CranewindError | null> {
    let failure: errors.CranewindError | null = null;
    for (let round = 0; round < 5; round += 1) {
      failure = await this.send("/-/Config.Replace", this.layout.configuration(1), 1);
      if (!failure) return null;
      await timers.sleep(this.clock, 500);
    }
    return failure;
  }

  /** Sends changes for so long, at the rate that was asked for or as fast as they are acknowledged. */
  async play(seconds: number): Promise<void> {
    this.sent = 0;
    this.acknowledged = [];
    const { changesPerS, routes } = this.options;
    const startedMs = this.clock.now();
    const mostCount = Math.round(seconds * changesPerS);
    for (let index = 0; index < mostCount; index += 1) {
      const waitMs = startedMs + ((index + 0.5) * 1000) / changesPerS - this.clock.now();
      if (waitMs > 0) await timers.sleep(this.clock, waitMs);
      if (this.clock.now() - startedMs >= seconds * 1000) break;
      const revision = this.revision + 1;
      const route = this.layout.route(index % routes, DEADLINES_MS[index % DEADLINES_MS.length]);
      // A change that fails leaves its revision unused: the next one is sent on the same base.
      await this.send("/-/Config.Update", { revision, upsert: { routes: [route] } }, revision);
    }
    const leftMs = startedMs + seconds * 1000 - this.clock.now();
    if (leftMs > 0) await timers.sleep(this.clock, leftMs);
  }

  /** The row of this run: from each acknowledgement until the revision was in force at each router. */
  row(point: rows.Point, revisions: readonly (readonly routers.RevisionInForce[])[], routerCount: number): rows.ChangeRow {
    const inForceMs: number[] = [];
    const ackMs: number[] = [];
    for (const { revision, sentMs, atMs } of this.acknowledged) {
      ackMs.push(atMs - sentMs);
      for (const group of revisions) {
        for (const at of firstAt(group, revision).values()) inForceMs.push(Math.max(0, at - atMs));
      }
    }
    return {
      ...point,
      sent: this.sent,
      acknowledged: this.acknowledged.length,
      changeBytes: this.bytes,
      acknowledgeP50Ms: rows.quantile(ackMs, 0.5),
      acknowledgeWorstMs: rows.quantile(ackMs, 1),
      inForceP50Ms: rows.quantile(inForceMs, 0.5),
      inForceP99Ms: rows.quantile(inForceMs, 0.99),
      inForceWorstMs: rows.quantile(inForceMs, 1),
      missing: this.acknowledged.length * routerCount - inForceMs.length,
    };
  }
}

/** When each router first held that revision or a later one. */
function firstAt(revisions: readonly routers.RevisionInForce[], revision: number): Map<number, number> {
  const found = new Map<number, number>();
  for (const item of revisions) {
    if (item.revision < revision) continue;
    found.set(item.router, Math.min(found.get(item.router) ?? Infinity, item.atMs));
  }
  return found;
}
