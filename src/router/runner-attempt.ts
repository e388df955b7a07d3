// One send to one runner. The point of no return is the send itself: only a reply that says so takes it
// back (design 7.8).
import type * as undici from "undici";
import type * as attemptObserver from "../admission/attempt-observer.js";
import * as log from "../runtime/log.js";
import * as http from "../wire/http.js";
import * as types from "../wire/types.js";
import * as responseHead from "./response-head.js";
import type * as connectionPool from "../runners/connection-pool.js";
import type * as runnerEndpoint from "../runners/runner-endpoint.js";
import * as idleTimeout from "../runners/idle-timeout.js";
import type * as failureKind from "../runners/failure-kind.js";

const CONNECT_TIMEOUT_MS = 450;
/** After so many events the pace of a stream is known. */
const GAP_SAMPLE_CHUNKS = 6;

/** How an attempt ended. */
export type AttemptEnding =
  | "not_sent" // no byte went out
  | "handed_back" // the runner says that it did not run it
  | "broken" // sent, and no whole reply: it may have run
  | "complete";

/** Hears of one attempt. */
export interface AttemptListener {
  /** False: the head is not taken, and the attempt is over as broken. */
  onHead(attempt: Attempt, head: responseHead.ResponseHead): boolean;
  onChunk(attempt: Attempt, chunk: Buffer): boolean;
  onEnd(attempt: Attempt, ending: AttemptEnding, head: responseHead.ResponseHead | null): void;
}

/** A request as one attempt sends it. */
export interface OutgoingRequest {
  method: string;
  path: string;
  headers: string[];
  body: Buffer | null;
  requestId: types.RequestId;
  isStream: boolean;
  /** What was predicted of it; its reply teaches (design/admission 3). */
  observer: attemptObserver.AttemptObserver;
}

/** One send; reads the answer as the dispatcher hands it over. */
export class Attempt {
  isSent = false;
  isOver = false;
  receivedAt = 0;
  head: responseHead.ResponseHead | null = null;
  isForwarding = false;
  private connectTimer: types.Timer | null = null;
  private startedAt = 0;
  private prefillTokens = 0;
  private chunkCount = 0;
  private firstChunkAt = 0;
  private isNotExecuted = false;
  private isFirstUse = false;
  private isStreaming = false;
  private abortSend: ((reason?: Error) => void) | null = null;
  private resumeRead: (() => void) | null = null;

  constructor(
    private readonly clock: types.Clock,
    readonly runner: runnerEndpoint.RunnerEndpoint,
    private readonly connection: connectionPool.Connection,
    private readonly listener: AttemptListener,
    private readonly request: OutgoingRequest,
  ) {}

  /** `tokens`: of its prompt, those that the runner has to read. */
  start(tokens = 0): void {
    this.isFirstUse = this.connection.isFresh;
    if (this.isFirstUse) this.connectTimer = this.clock.schedule(CONNECT_TIMEOUT_MS, this.onConnectTimeout.bind(this));
    this.runner.inflight += 1;
    this.receivedAt = this.startedAt = this.clock.now();
    this.prefillTokens = tokens;
    this.runner.outliers.recordSend(this.startedAt);
    this.runner.awaitFirstByte(this, this.startedAt + this.runner.outliers.overdueMs(this.workKind(), tokens));
    if (this.runner.inflight === 1) this.runner.busySince = this.receivedAt;
    const { method, path, headers, body } = this.request;
    try {
      this.connection.client.dispatch(
        { method: method as undici.Dispatcher.HttpMethod, path, headers, body },
        this as unknown as undici.Dispatcher.DispatchHandlers,
      );
    } catch {
      this.finish("not_sent", true);
    }
  }

  /** No connection came up: nothing was sent, and the request may go elsewhere. */
  private onConnectTimeout(): void {
    if (this.isSent || this.isOver) return;
    this.runner.recordFailure("unreached", this.clock.now());
    this.finish("not_sent", false);
  }

  private workKind(): "start" | "reply" {
    return this.request.isStream ? "start" : "reply";
  }

  onConnect(abort: (reason?: Error) => void): void {
    if (this.isOver) {
      abort();
      return;
    }
    this.isSent = true;
    this.connectTimer?.stop();
    this.abortSend = abort;
  }

  onHeaders(status: number, raw: Buffer[], resume: () => void): boolean {
    if (this.isOver || status < 200) return true;
    this.recordReceived();
    this.resumeRead = resume;
    const head = { status, raw, headers: http.headerMap(raw) };
    if (!responseHead.isForRequest(head, this.request.requestId)) {
      // An answer too many, of an earlier request, or no runner's answer: nothing on this connection can be trusted.
      log.count("router.foreign_answer");
      this.discard("broken");
      return true;
    }
    this.head = head;
    if (responseHead.isNotExecuted(head)) {
      this.isNotExecuted = true;
      return true;
    }
    this.isForwarding = this.listener.onHead(this, this.head);
    if (!this.isForwarding) this.discard(this.failureKind() ?? "broken");
    return true;
  }

  private discard(sign: failureKind.FailureKind): void {
    this.runner.recordFailure(sign, this.clock.now());
    this.finish("broken", false);
  }

  /** A head alone proves nothing: a failure may follow, or be in it. */
  private recordReceived(): void {
    this.receivedAt = this.clock.now();
    this.runner.recordReceived(this.receivedAt);
    this.runner.firstByteArrived(this);
  }

  private failureKind(): failureKind.FailureKind | null {
    const status = this.head?.status ?? 0;
    if (this.isNotExecuted) return status === 421 || status === 400 ? null : "shed";
    if (status < 500) return null;
    return status === 504 ? "late" : "error";
  }

  /** Time to the first byte once, and between events once after some of them. */
  private recordTimings(): void {
    const status = this.head?.status ?? 0;
    if (status < 200 || status >= 300) return;
    const { runner, receivedAt } = this;
    this.chunkCount += 1;
    if (this.chunkCount === 1) {
      this.firstChunkAt = receivedAt;
      runner.outliers.recordDuration(
        this.workKind(),
        this.prefillTokens,
        receivedAt - this.startedAt,
        receivedAt,
        runner.isLoaded(receivedAt),
      );
    } else if (this.request.isStream && this.chunkCount === GAP_SAMPLE_CHUNKS + 1) {
      runner.outliers.recordDuration(
        "gap",
        0,
        (receivedAt - this.firstChunkAt) / GAP_SAMPLE_CHUNKS,
        receivedAt,
        runner.isLoaded(receivedAt),
      );
    }
  }

  onData(chunk: Buffer): boolean {
    if (this.isOver) return true;
    this.recordReceived();
    if (this.isNotExecuted) return true;
    this.recordTimings();
    this.request.observer.recordEvent();
    if (!this.isStreaming && this.request.isStream) {
      this.isStreaming = true;
      this.runner.streamingCount += 1;
    }
    return this.listener.onChunk(this, chunk);
  }

  resume(): void {
    if (!this.isOver) this.resumeRead?.();
  }

  onComplete(): void {
    if (this.isOver) return;
    if (this.isTruncated()) {
      this.onError();
      return;
    }
    this.recordOutcome();
    const isLeaving = this.head?.headers.get("connection")?.toLowerCase().includes("close") === true;
    this.finish(this.isNotExecuted ? "handed_back" : "complete", !isLeaving);
  }

  /** A body that ends with its connection is whole only if that ended in order (RFC 9112, 8). */
  private isTruncated(): boolean {
    return this.connection.hasFailed && this.head !== null && responseHead.isDelimitedByClose(this.head, this.request.method);
  }

  private recordOutcome(): void {
    const now = this.clock.now();
    const failure = this.failureKind();
    if (failure) this.runner.recordFailure(failure, now);
    else if (!this.isNotExecuted) this.runner.outliers.recordSuccess(now);
  }

  onError(cause?: { code?: unknown }): void {
    if (this.isOver) return;
    if (this.isSent && !this.head && idleTimeout.isConnectionReset(cause)) this.runner.connections.recordReset(this.connection);
    const isStale = this.isSent && !this.isFirstUse && this.head === null;
    const broken = isStale ? "stale" : "broken";
    this.runner.recordFailure(this.isNotExecuted ? (this.failureKind() ?? "stale") : this.isSent ? broken : "refused", this.clock.now());
    // A denial whose head was read stands, whatever became of the rest.
    this.finish(this.isNotExecuted ? "handed_back" : this.isSent ? "broken" : "not_sent", false);
  }

  /** Gives the attempt up: what the runner does from now on reaches nobody. */
  cancel(): void {
    this.finish(this.isSent ? "broken" : "not_sent", false);
  }

  private finish(ending: AttemptEnding, isClean: boolean): void {
    if (this.isOver) return;
    this.isOver = true;
    this.connectTimer?.stop();
    this.runner.firstByteArrived(this);
    this.runner.inflight -= 1;
    this.request.observer.recordEnd(ending === "complete" ? "complete" : ending === "broken" ? "stopped" : "not_run");
    if (this.isStreaming) this.runner.streamingCount -= 1;
    if (!isClean) this.abortSend?.();
    this.runner.connections.release(this.connection, isClean, this.head?.headers.get("keep-alive"));
    if (this.runner.status !== "ready") this.runner.connections.closeIdle();
    this.listener.onEnd(this, ending, this.head);
  }
}
