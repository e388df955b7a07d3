// The orchestrator of a region reads its runners' reports and derives their status (design 4.5). When it
// is missing, the next control node in order does the region's work and hands it over again.
import * as calls from "../../wire/calls.js";
import * as http from "../../wire/http.js";
import * as schema from "../../wire/schema.js";
import * as types from "../../wire/types.js";
import * as log from "../../runtime/log.js";
import type * as dialer from "../../feed/dialer.js";

const PERIOD_MS = 600;
const STEP_MS = 900;
const REPORT_MS = 350;
const MISSES = 1;

interface Watched {
  client: http.Client;
  misses: number;
  report: schema.Report;
}

interface Cell {
  heardAt: number;
  readAt: number;
  nextAt: number;
  isBusy: boolean;
}

/** What the orchestrator knows of regions and duties. */
export interface RegionView {
  /** The runners of a region that write reports. */
  reportingRunners(region: string): schema.Instance[];
  /** This node's place in the order of those who watch the region. */
  rankIn(region: string): number;
  /** What of the reports read is news to those who hear them (design/usage 3.2). */
  selectChanges(region: string, reports: readonly schema.Report[]): schema.Report[];
}

/** Reads the reports of each region in which this node ranks first, else stands in for a reader that is silent. */
export class RegionOrchestrator {
  private readonly watched = new Map<string, Watched>();
  private readonly cells = new Map<string, Cell>();

  constructor(
    private readonly world: types.Clock,
    regions: Iterable<string>,
    private readonly view: RegionView,
    private readonly dial: dialer.Dialer,
    private readonly onReport: (report: schema.CellReport) => void,
  ) {
    for (const region of regions) this.cells.set(region, { heardAt: -1e9, readAt: -1e9, nextAt: 0, isBusy: false });
  }

  pollDueRegions(): void {
    const now = this.world.now();
    for (const [region, cell] of this.cells) {
      if (cell.isBusy || now < cell.nextAt) continue;
      const rank = this.view.rankIn(region);
      if (rank > 0 && now - cell.heardAt < PERIOD_MS + STEP_MS * rank) continue;
      cell.isBusy = true;
      cell.nextAt = now + PERIOD_MS;
      void this.poll(region, cell);
    }
  }

  receiveReport(report: schema.CellReport): void {
    const cell = this.cells.get(report.region);
    if (cell) cell.heardAt = this.world.now();
    this.onReport(report);
  }

  /** Whether the region's reports are read here by now. */
  isReader(region: string): boolean {
    return this.world.now() - (this.cells.get(region)?.readAt ?? -1e9) < 2 * PERIOD_MS;
  }

  private async poll(region: string, cell: Cell): Promise<void> {
    const instances = this.view.reportingRunners(region);
    this.forget(region, instances);
    const reports = await Promise.all(instances.map(this.ask.bind(this)));
    cell.isBusy = false;
    cell.heardAt = cell.readAt = this.world.now();
    const told = { region, reports: this.view.selectChanges(region, reports) };
    this.onReport(told);
    for (const control of this.dial.controls.values()) control.link.tell(calls.report, told);
  }

  private async ask(instance: schema.Instance): Promise<schema.Report> {
    let watched = this.watched.get(instance.id);
    if (!watched) {
      const client = http.open(instance.address, { connectMs: REPORT_MS, idleMs: 4000 });
      const report = { id: instance.id, isSpeaking: true, waiting: 0, active: 0, kvUsed: 0, kvCapacity: 0 };
      watched = { client, misses: 0, report };
      this.watched.set(instance.id, watched);
    }
    const reply = await http.call(this.world, watched.client, "/-/report", { withinMs: REPORT_MS });
    log.count("runner.report");
    const read = reply?.status === 200 ? readReport(instance.id, reply.body) : null;
    if (read) {
      if (!watched.report.isSpeaking) log.state(`runner ${instance.id} speaks again`);
      watched.misses = 0;
      watched.report = read;
      return read;
    }
    watched.misses += 1;
    if (!reply) this.renew(instance, watched);
    if (watched.misses === MISSES) log.state(`runner ${instance.id} is silent`);
    watched.report = { ...watched.report, isSpeaking: watched.misses < MISSES };
    return watched.report;
  }

  stop(): void {
    for (const watched of this.watched.values()) void watched.client.destroy().catch(http.ignore);
    this.watched.clear();
  }

  private renew(instance: schema.Instance, watched: Watched): void {
    void watched.client.destroy().catch(http.ignore);
    watched.client = http.open(instance.address, { connectMs: REPORT_MS, idleMs: 4000 });
  }

  private forget(region: string, instances: readonly schema.Instance[]): void {
    const standing = new Set<string>();
    for (const other of this.cells.keys()) {
      for (const item of other === region ? instances : this.view.reportingRunners(other)) standing.add(item.id);
    }
    for (const [id, watched] of this.watched) {
      if (standing.has(id)) continue;
      void watched.client.destroy().catch(http.ignore);
      this.watched.delete(id);
    }
  }
}

/** A runner's report from its JSON; null where it can't be read. */
export function readReport(id: types.RunnerId, body: Buffer): schema.Report | null {
  try {
    const raw = JSON.parse(body.toString("utf8")) as Record<string, unknown>;
    return {
      id,
      isSpeaking: true,
      waiting: whole(raw["waiting_requests"]),
      active: whole(raw["active"]),
      kvUsed: whole(raw["kv_used"]),
      kvCapacity: whole(raw["kv_capacity"]),
    };
  } catch {
    return null;
  }
}

function whole(value: unknown): number {
  return typeof value === "number" && Number.isFinite(value) && value >= 0 ? Math.min(0x7fffffff, Math.round(value)) : 0;
}
