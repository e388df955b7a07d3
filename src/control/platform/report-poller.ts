/** Polls the load reports of runners over HTTP, with one kept connection a runner (design 4.5). */
import * as http from "../../wire/http.js";
import * as schema from "../../wire/schema.js";
import * as types from "../../wire/types.js";
import * as log from "../../runtime/log.js";
import * as jsonBounds from "../../runtime/json-bounds.js";

const REPORT_TIMEOUT_MS = 350;
const IDLE_CONNECTION_MS = 4000;
/** Reports missed in a row after which a runner counts as unresponsive. */
const MAX_MISSES = 1;

interface PolledRunner {
  client: http.Client;
  /** Reports missed in a row. */
  misses: number;
  /** The last report received; `isSpeaking` is false while the runner is unresponsive. */
  report: schema.Report;
}

/** A count of a report: a number of 0 and more, rounded; 0 for anything else. */
function readCount(value: unknown): number {
  return typeof value === "number" && Number.isFinite(value) && value >= 0 ? Math.min(0x7fffffff, Math.round(value)) : 0;
}

/** Decodes a runner's report from its JSON; null where it is not readable. */
export function readReport(id: types.RunnerId, body: Buffer): schema.Report | null {
  try {
    const raw = jsonBounds.parse(body) as Record<string, unknown>;
    return {
      id,
      isSpeaking: true,
      waiting: readCount(raw["waiting_requests"]),
      active: readCount(raw["active"]),
      kvUsed: readCount(raw["kv_used"]),
      kvCapacity: readCount(raw["kv_capacity"]),
    };
  } catch {
    return null;
  }
}

function connect(instance: schema.Instance): http.Client {
  return http.open(instance.address, { connectMs: REPORT_TIMEOUT_MS, idleMs: IDLE_CONNECTION_MS });
}

function disconnect(runner: PolledRunner): void {
  void runner.client.destroy().catch(http.ignore);
}

/** Owns the connections to the runners that it polls. */
export class ReportPoller {
  private readonly runners = new Map<string, PolledRunner>();

  constructor(private readonly clock: types.Clock) {}

  /** Requests one report. Where none arrives in time, the last one is returned and marked as unresponsive. */
  async poll(instance: schema.Instance): Promise<schema.Report> {
    const runner = this.getOrConnect(instance);
    const response = await http.call(this.clock, runner.client, "/-/report", { timeoutMs: REPORT_TIMEOUT_MS });
    log.count("runner.report");
    const report = response?.status === 200 ? readReport(instance.id, response.body) : null;
    if (report) {
      if (!runner.report.isSpeaking) log.state(`runner ${instance.id}: load reports resumed`);
      runner.misses = 0;
      runner.report = report;
      return report;
    }
    runner.misses += 1;
    if (!response) {
      disconnect(runner);
      runner.client = connect(instance);
    }
    if (runner.misses === MAX_MISSES) log.state(`runner ${instance.id}: load report missing`);
    runner.report = { ...runner.report, isSpeaking: runner.misses < MAX_MISSES };
    return runner.report;
  }

  private getOrConnect(instance: schema.Instance): PolledRunner {
    let runner = this.runners.get(instance.id);
    if (!runner) {
      const report = { id: instance.id, isSpeaking: true, waiting: 0, active: 0, kvUsed: 0, kvCapacity: 0 };
      runner = { client: connect(instance), misses: 0, report };
      this.runners.set(instance.id, runner);
    }
    return runner;
  }

  /** Closes the connections to all other runners. */
  retainOnly(ids: ReadonlySet<string>): void {
    for (const [id, runner] of this.runners) {
      if (ids.has(id)) continue;
      disconnect(runner);
      this.runners.delete(id);
    }
  }

  /** Closes all connections. */
  close(): void {
    for (const runner of this.runners.values()) disconnect(runner);
    this.runners.clear();
  }
}
