// One runner as this router sees it: what the list, the reports and this router's own sends say of it (design 7.4).
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as textHash from "../limits/text-hash.js";
import * as log from "../runtime/log.js";
import * as runnerLoad from "../load/runner-load.js";
import * as connectionPool from "./connection-pool.js";
import * as idleTimeout from "./idle-timeout.js";
import * as outlierDetection from "./outlier-detection.js";
import type * as failureKind from "./failure-kind.js";

/** As the platform lists it. */
export type EndpointStatus = "ready" | "draining" | "gone";

const SILENCE_SUSPECT_MS = 700;
const FULL_BACKOFF_MS = 150;
const STREAM_SILENCE_MS = 400;
const START_SILENCE_MS = 1500;
/** With so much of its batch taken a runner may be slow or deny without a fault. */
const LOADED_FRACTION = 0.75;
/** Streams there come late for a while after a reading, too (*ours*). */
const PREFILL_SLACK_MS = 200;

/** One life of a runner. */
export class RunnerEndpoint extends runnerLoad.RunnerLoad {
  status: EndpointStatus = "ready";
  warmUpUntil = 0;
  shutdownAt = Infinity;
  streamingCount = 0;
  receivedAt = 0;
  busySince = 0;
  fullUntil = 0;
  private prefillUntil = -Infinity;
  /** Until when it is taken for silent; whatever is heard of it ends that. */
  private unresponsiveUntil = 0;
  private reportsLostAt = Infinity;
  /** Sends without a first byte, and when each is overdue. */
  private readonly awaitingFirstByte = new Map<object, number>();
  readonly outliers: outlierDetection.OutlierDetector;
  readonly connections: connectionPool.ConnectionPool;
  /** A fixed place in the order of runners, the same at every router. */
  readonly runnerHash: number;

  constructor(
    readonly instance: schema.Instance,
    readonly region: string,
    limit: idleTimeout.IdleTimeout,
  ) {
    super();
    this.outliers = new outlierDetection.OutlierDetector(instance.id);
    this.connections = new connectionPool.ConnectionPool(instance.address, opened, limit);
    this.runnerHash = textHash.hashText(instance.id);
  }

  get id(): types.RunnerId {
    return this.instance.id;
  }

  /** The one place where a runner changes its state. */
  transition(to: EndpointStatus): void {
    if (this.status === to || this.status === "gone") return;
    if (this.status === "draining" && to === "ready") return;
    this.status = to;
    if (to === "ready") return;
    this.connections.closeIdle();
    this.outliers.leavePeerGroup();
  }

  /** Readings that are known to be ahead there explain a pause; so does a batch that is nearly full. */
  isLoaded(now: number): boolean {
    return this.requestCount() >= LOADED_FRACTION * this.instance.capacity || now < this.prefillUntil + PREFILL_SLACK_MS;
  }

  /** A reading is sent there, from here or elsewhere, that takes so long. */
  recordPrefill(ms: number, now: number): void {
    this.prefillUntil = Math.max(now, this.prefillUntil) + ms;
  }

  /** It fell silent with work from here. */
  recordSilence(now: number): void {
    this.recordFailure("silent", now);
    this.unresponsiveUntil = Math.max(this.unresponsiveUntil, now + SILENCE_SUSPECT_MS);
    log.count("runner.suspected");
  }

  /** Packets may pass one way only: where reports are good, a silent way is a matter of this router alone. */
  recordFailure(sign: failureKind.FailureKind, now: number): void {
    this.outliers.recordFailure(sign, now, this.isLoaded(now), sign === "unreached" && this.isReporting);
  }

  awaitFirstByte(send: object, overdueAt: number): void {
    this.awaitingFirstByte.set(send, overdueAt);
  }

  recordFirstByte(send: object): void {
    this.awaitingFirstByte.delete(send);
  }

  private recordOverdue(now: number): void {
    for (const [send, overdueAt] of this.awaitingFirstByte) {
      if (now < overdueAt) continue;
      this.awaitingFirstByte.delete(send);
      this.recordFailure("overdue", now);
    }
  }

  /** It handed a request back: full for now, or another life has its address. */
  recordRejection(now: number, isOther: boolean): void {
    if (isOther) this.transition("gone");
    else this.fullUntil = now + FULL_BACKOFF_MS;
  }

  recordReceived(now: number): void {
    this.receivedAt = now;
    this.unresponsiveUntil = 0;
  }

  /** Nothing came from it for so long, although it has work from here. */
  silentMs(now: number): number {
    return this.inflight === 0 ? 0 : now - Math.max(this.receivedAt, this.busySince);
  }

  isSilent(now: number): boolean {
    return now < this.unresponsiveUntil || this.silentMs(now) > (this.streamingCount > 0 ? STREAM_SILENCE_MS : START_SILENCE_MS);
  }

  receiveReport(report: schema.Report, now: number): void {
    if (this.isReporting && !report.isSpeaking) this.reportsLostAt = now;
    this.applyReport(report);
  }

  /** A report that stays out is one sign: a reply that came well since then outweighs it. */
  isUnconfirmed(now: number): boolean {
    return !this.isReporting && this.outliers.succeededAt <= this.reportsLostAt && now - this.receivedAt > STREAM_SILENCE_MS;
  }

  isSuspect(now: number): boolean {
    return this.outliers.update(now) === "ejected" || this.outliers.isFailing(now) || this.isSilent(now) || this.isUnconfirmed(now);
  }

  /** Own evidence that others should hear of, once a while. */
  takeSuspicion(now: number): boolean {
    this.recordOverdue(now);
    this.outliers.update(now);
    return this.outliers.takeReport(now, this.streamingCount > 0 && !this.isLoaded(now) && this.silentMs(now) > STREAM_SILENCE_MS);
  }

  /** What is out of reach from here counts as silent unless this router hears it. */
  recordUnreachable(now: number): void {
    if (now - this.receivedAt > STREAM_SILENCE_MS) this.unresponsiveUntil = Math.max(this.unresponsiveUntil, now + SILENCE_SUSPECT_MS);
  }

  isWarmingUp(now: number): boolean {
    return now < this.warmUpUntil;
  }

  /** For `status`: usage in requests, rates as parts of one. */
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

function opened(): void {
  log.count("runner.connections");
}
