/** One runner as this router sees it: what the membership, its reports and this router's own requests say of it (design 7.4). */
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as textHash from "../limits/text-hash.js";
import * as log from "../runtime/log.js";
import * as runnerLoad from "../load/runner-load.js";
import * as connectionPool from "./connection-pool.js";
import * as idleTimeout from "./idle-timeout.js";
import * as outlierDetection from "./outlier-detection.js";
import type * as failureKind from "./failure-kind.js";

/** As the platform lists it; `gone`: another runner may have its address. */
export type EndpointStatus = "ready" | "draining" | "gone";

/** After a sign of silence a runner counts as silent for so long. */
const SILENCE_SUSPECT_MS = 700;
/** After a rejection a runner counts as full for so long. */
const FULL_BACKOFF_MS = 150;
/** A runner with streams under way is silent after so long, one that has only requests without a first byte after the second. */
const STREAM_SILENCE_MS = 400;
const START_SILENCE_MS = 1500;
/** At this fraction of its capacity a runner may be slow, or reject requests, without a fault. */
const LOADED_FRACTION = 0.75;
/** Streams are late for a while after a prefill, too. */
const PREFILL_SLACK_MS = 200;

/** One incarnation of a runner; times are milliseconds of the steady clock. */
export class RunnerEndpoint extends runnerLoad.RunnerLoad {
  status: EndpointStatus = "ready";
  /** Until then it starts slowly: its requests need leases. */
  warmUpUntil = 0;
  /** When the platform ends it. */
  shutdownAt = Infinity;
  /** Attempts of this router whose stream has begun. */
  streamingCount = 0;
  /** When bytes arrived last. */
  receivedAt = 0;
  /** Since when it has had requests of this router without a break. */
  busySince = 0;
  /** Until then it is taken for full. */
  fullUntil = 0;
  private prefillUntil = -Infinity;
  /** Until then it is taken for silent, unless bytes arrive. */
  private unresponsiveUntil = 0;
  private reportsLostAt = Infinity;
  /** Attempts without a first byte, and when each is overdue. */
  private readonly awaitingFirstByte = new Map<object, number>();
  readonly outliers: outlierDetection.OutlierDetector;
  readonly connections: connectionPool.ConnectionPool;
  /** Orders the runners in the same way at every router. */
  readonly runnerHash: number;

  constructor(
    readonly instance: schema.Instance,
    readonly region: string,
    idleTimeout: idleTimeout.IdleTimeout,
  ) {
    super();
    this.outliers = new outlierDetection.OutlierDetector(instance.id);
    this.connections = new connectionPool.ConnectionPool(instance.address, () => log.count("runner.connections"), idleTimeout);
    this.runnerHash = textHash.hashText(instance.id);
  }

  get id(): types.RunnerId {
    return this.instance.id;
  }

  /** The one place where the status changes; it never returns to an earlier one. */
  transition(to: EndpointStatus): void {
    if (this.status === to || this.status === "gone") return;
    if (this.status === "draining" && to === "ready") return;
    this.status = to;
    if (to === "ready") return;
    this.connections.closeIdle();
    this.outliers.leavePeerGroup();
  }

  /** Whether a known prefill, or a nearly full batch, explains a pause. */
  isLoaded(now: number): boolean {
    return this.requestCount() >= LOADED_FRACTION * this.instance.capacity || now < this.prefillUntil + PREFILL_SLACK_MS;
  }

  /** A prompt was sent there, from this router or another, whose prefill takes `ms`. */
  recordPrefill(ms: number, now: number): void {
    this.prefillUntil = Math.max(now, this.prefillUntil) + ms;
  }

  /** It fell silent while it had a request of this router. */
  recordSilence(now: number): void {
    this.recordFailure("silent", now);
    this.unresponsiveUntil = Math.max(this.unresponsiveUntil, now + SILENCE_SUSPECT_MS);
    log.count("runner.suspected");
  }

  /** If it cannot be reached from here and still reports, the network path of this router is at fault. */
  recordFailure(kind: failureKind.FailureKind, now: number): void {
    this.outliers.recordFailure(kind, now, this.isLoaded(now), kind === "unreached" && this.isReporting);
  }

  /** The attempt counts as overdue from then on, unless `recordFirstByte` is called before. */
  awaitFirstByte(attempt: object, overdueAt: number): void {
    this.awaitingFirstByte.set(attempt, overdueAt);
  }

  recordFirstByte(attempt: object): void {
    this.awaitingFirstByte.delete(attempt);
  }

  private recordOverdue(now: number): void {
    for (const [attempt, overdueAt] of this.awaitingFirstByte) {
      if (now < overdueAt) continue;
      this.awaitingFirstByte.delete(attempt);
      this.recordFailure("overdue", now);
    }
  }

  /** It did not execute a request: it is full, or, with `isOther`, another runner has its address. */
  recordRejection(now: number, isOther: boolean): void {
    if (isOther) this.transition("gone");
    else this.fullUntil = now + FULL_BACKOFF_MS;
  }

  /** Bytes arrived from it. */
  recordReceived(now: number): void {
    this.receivedAt = now;
    this.unresponsiveUntil = 0;
  }

  /** How long nothing has arrived, although it has requests of this router; 0 without any. */
  silentMs(now: number): number {
    return this.inflight === 0 ? 0 : now - Math.max(this.receivedAt, this.busySince);
  }

  isSilent(now: number): boolean {
    return now < this.unresponsiveUntil || this.silentMs(now) > (this.streamingCount > 0 ? STREAM_SILENCE_MS : START_SILENCE_MS);
  }

  /** Its report as a control node published it. */
  receiveReport(report: schema.Report, now: number): void {
    if (this.isReporting && !report.isSpeaking) this.reportsLostAt = now;
    this.applyReport(report);
  }

  /** Its reports stopped, and no request of this router has succeeded since then. */
  isUnconfirmed(now: number): boolean {
    return !this.isReporting && this.outliers.succeededAt <= this.reportsLostAt && now - this.receivedAt > STREAM_SILENCE_MS;
  }

  /** Whether anything speaks against it. */
  isSuspect(now: number): boolean {
    return this.outliers.update(now) === "ejected" || this.outliers.isFailing(now) || this.isSilent(now) || this.isUnconfirmed(now);
  }

  /** Whether other routers are to be notified now of what this router found. Called a few times a second. */
  takeSuspicion(now: number): boolean {
    this.recordOverdue(now);
    this.outliers.update(now);
    return this.outliers.takeReport(now, this.streamingCount > 0 && !this.isLoaded(now) && this.silentMs(now) > STREAM_SILENCE_MS);
  }

  /** Its region can't be reached from here: it counts as silent unless bytes have just arrived. */
  recordUnreachable(now: number): void {
    if (now - this.receivedAt > STREAM_SILENCE_MS) this.unresponsiveUntil = Math.max(this.unresponsiveUntil, now + SILENCE_SUSPECT_MS);
  }

  isWarmingUp(now: number): boolean {
    return now < this.warmUpUntil;
  }

  /** Its row in `status`. */
  describe(now: number): unknown {
    const { id, status, inflight } = this;
    const { service, zone } = this.instance;
    return {
      id,
      service,
      zone,
      status,
      inflight,
      usage: this.requestCount(),
      state: this.outliers.update(now),
      rates: this.outliers.rates(now),
    };
  }
}
