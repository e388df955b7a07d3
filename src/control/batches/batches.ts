/** Batches at one control node (design/batch 1): register, records, owner, forecast and operators' calls, connected. */
import * as path from "node:path";
import type * as batchAttempt from "../../batch/batch-attempt.js";
import * as batchOwner from "../../batch/batch-owner.js";
import * as records from "../../batch/records.js";
import * as replicas from "../../batch/replicas.js";
import * as routers from "../../batch/routers.js";
import * as sender from "../../batch/sender.js";
import * as submissions from "../../batch/submission.js";
import * as tables from "../../batch/table.js";
import type * as itemQueue from "../../batch/item-queue.js";
import * as files from "../../store/files.js";
import * as errors from "../../runtime/errors.js";
import * as log from "../../runtime/log.js";
import type * as tree from "../../supervisor/tree.js";
import type * as batchSchema from "../../wire/batch-schema.js";
import type * as types from "../../wire/types.js";
import * as batchCalls from "./batch-calls.js";
import * as loadCollector from "./load-collector.js";
import type * as sidePartHost from "../side-part-host.js";
import * as sideRegister from "../side-register.js";
import * as batchView from "./batch-view.js";
import type * as serve from "../../wire/serve.js";

/** Where the records of batches go below data_dir, beside the register's own files. */
const RECORD_FOLDER = path.join(sideRegister.BATCHES.folder, "records");
/** Missing replicas of records are looked for this often. */
const REPAIR_INTERVAL_MS = 2000;
/** Pause between two attempts to open the records. */
const OPEN_RETRY_INTERVAL_MS = 1000;

/** The control node around it. */
export interface BatchesHost extends sidePartHost.SidePartHost {
  isConfirmed(): boolean;
}

/** Null where the setting `batches` is off, or there is no disk. */
export function makeBatches(clock: types.Clock, host: BatchesHost): Batches | null {
  const { batches, data_dir: dataDir } = host.startup;
  return batches === "off" || !dataDir ? null : new Batches(clock, host, dataDir);
}

/** Made only where the setting `batches` is on. */
export class Batches {
  private readonly register: sideRegister.SideRegister;
  private readonly records: records.Records;
  private readonly replicas: replicas.Replicas;
  private readonly loads: loadCollector.LoadCollector;
  private readonly view: batchView.BatchView;
  private readonly owner: batchOwner.BatchOwner;
  private readonly calls: batchCalls.BatchCalls;
  private readonly routers: routers.PassedRouters;
  private readonly submissions = new Map<string, submissions.Submission>();
  private repairedAt = -Infinity;
  private isRepairing = false;
  private hasRecords = false;

  constructor(
    private readonly clock: types.Clock,
    private readonly host: BatchesHost,
    dataDir: string,
  ) {
    const { startup, dial } = host;
    const isBootstrap = startup.batches_bootstrap ?? startup.bootstrap;
    this.register = new sideRegister.SideRegister(clock, sideRegister.BATCHES, host, { dataDir, isBootstrap });
    this.records = new records.Records(clock, new files.LocalFolder(path.join(dataDir, RECORD_FOLDER)));
    this.replicas = new replicas.Replicas(clock, this.register.replica, this.records);
    this.loads = new loadCollector.LoadCollector(clock, host.feed, host.members, dial);
    this.view = new batchView.BatchView({
      configuration: () => host.configuration(),
      instances: () => host.fleetObserver.instances(),
      reports: () => host.fleetObserver.reports(),
      regionOf: (zone) => startup.zones[zone] ?? zone,
      forecast: this.loads.forecast,
    });
    this.routers = new routers.PassedRouters(clock, () => host.members.readyRouters());
    this.owner = new batchOwner.BatchOwner(this.ownerDependencies());
    const { view, replicas: replicated } = this;
    this.calls = new batchCalls.BatchCalls({
      clock,
      register: this.register.replica,
      replicas: replicated,
      view,
      forecast: this.loads.forecast,
    });
    this.register.registerHandlers(host.handlers);
    this.replicas.registerHandlers(host.handlers);
    this.loads.registerHandlers(host.handlers);
  }

  private ownerDependencies(): batchOwner.Dependencies {
    const { clock, host, view, replicas: replicated } = this;
    return {
      clock,
      incarnation: host.incarnation,
      register: this.register.replica,
      replicas: replicated,
      isConfirmed: () => host.isConfirmed(),
      serviceOf: (route) => view.serviceOf(route),
      capacitiesOf: (batch, service) => view.capacitiesOf(batch, service),
      prefillTokensOf: (batch) => view.prefillTokensOf(batch.digest),
      longestMs: (route) => sender.longestMs(view.routeOf(route)),
      send: (send, batch) => this.send(send, batch),
      onAttemptEnded: (batch, send, ended) => {
        if (ended.end === "done") view.recordOccupancy(batch.digest, clock.now() - send.sentAt);
      },
      isConnected: (life) => this.connectedIncarnations().has(life),
      rank: () => [...this.connectedIncarnations()].filter((life) => life < host.incarnation).length,
    };
  }

  /** Incarnations of the other control nodes in touch. */
  private connectedIncarnations(): Set<string> {
    const incarnations = new Set<string>();
    for (const { node, link: to } of this.host.dial.controls.values()) if (to.isOpen) incarnations.add(node.life);
    return incarnations;
  }

  /** Run by the control node's timer. */
  runPeriodically(): void {
    this.register.runPeriodically();
    this.loads.runPeriodically();
    if (this.hasRecords) this.owner.runPeriodically();
    if (this.owner.isOwner()) this.routers.sendPass();
    const now = this.clock.now();
    if (this.isRepairing || !this.hasRecords || now - this.repairedAt < REPAIR_INTERVAL_MS) return;
    this.repairedAt = now;
    void this.repair();
  }

  private async repair(): Promise<void> {
    const { chosen } = this.register.replica;
    if (!chosen) return;
    this.isRepairing = true;
    const table = tables.tableOf(chosen);
    await this.replicas.repair(table);
    this.view.retainOnly(table);
    const digests = new Set(table.batches.map((batch) => batch.digest));
    for (const digest of this.submissions.keys()) if (!digests.has(digest)) this.submissions.delete(digest);
    for (const batch of tables.openBatches(table)) if (!this.view.hasSizes(batch.digest)) await this.submissionOf(batch);
    this.isRepairing = false;
  }

  /** The submission of a batch, read once; null: no node in touch holds it. */
  private async submissionOf(batch: batchSchema.Batch): Promise<submissions.Submission | null> {
    const cached = this.submissions.get(batch.digest);
    if (cached) return cached;
    const found = await this.replicas.find({ digest: batch.digest, ...records.SUBMISSION });
    const parsed = found.kind === "found" ? submissions.parse(found.body) : null;
    if (!parsed?.isOk) return null;
    this.submissions.set(batch.digest, parsed.value);
    this.view.recordSizes(batch.digest, submissions.outlineOf(parsed.value));
    return parsed.value;
  }

  private async send(send: itemQueue.PlannedSend, batch: batchSchema.Batch): Promise<batchAttempt.AttemptAnswer> {
    const submission = await this.submissionOf(batch);
    const route = this.view.routeOf(batch.route);
    const item = submission?.items[send.index];
    if (!item || !route) return { kind: "not_run", retryAfterMs: OPEN_RETRY_INTERVAL_MS };
    return sender.send(this.clock, this.routers.nextRouter(send.region), { route, item });
  }

  reply(asked: serve.HttpRequest): Promise<serve.HttpResponse> {
    return this.calls.reply(asked);
  }

  /** For the supervisor. */
  child(): tree.Child {
    return { name: "batches", start: () => this.start(), stop: () => this.stop() };
  }

  private start(): void {
    this.register.start();
    void this.openRecords();
  }

  /** Opening is retried while the disk fails; until then this node owns no batches. */
  private async openRecords(): Promise<void> {
    try {
      await this.records.open();
      this.hasRecords = true;
    } catch (cause) {
      log.count("batch.records_refused");
      log.state(`batch: the records can't be opened: ${errors.messageOf(cause)}`);
      this.clock.schedule(OPEN_RETRY_INTERVAL_MS, () => void this.openRecords());
    }
  }

  status(): unknown {
    return { ...(this.register.status() as object), isOwner: this.owner.isOwner(), atWork: this.owner.inFlightCount };
  }

  /** Finishes the attempts in flight and hands the vote over, while links are still up. `timeoutMs`: for the vote. */
  async handOver(timeoutMs: number): Promise<void> {
    await this.owner.finishInFlight();
    await this.register.handOver(timeoutMs);
  }

  private async stop(): Promise<void> {
    this.hasRecords = false;
    await this.register.stop();
    await this.records.close();
  }
}
