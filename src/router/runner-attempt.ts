/**
 * One attempt: the request sent to one runner over one connection (design 7.8). Once its first byte may have been sent the
 * request counts as executed, unless the response says that it was not.
 */
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
import type * as peerGroup from "../runners/peer-group.js";

const CONNECT_TIMEOUT_MS = 450;
/** The gap between the chunks of a stream is averaged over so many. */
const GAP_SAMPLE_CHUNKS = 6;

/** How an attempt ended. */
export type AttemptEnding =
  | "not_sent" // no byte was sent
  | "not_executed" // the runner says that it did not run the request
  | "interrupted" // sent without a complete response: the request may have run
  | "complete";

/** Each ending as admission learns from it. */
const OBSERVED_OUTCOMES: Readonly<Record<AttemptEnding, attemptObserver.AttemptOutcome>> = {
  not_sent: "not_run",
  not_executed: "not_run",
  interrupted: "stopped",
  complete: "complete",
};

/** Is notified of the progress of one attempt. */
export interface AttemptListener {
  /** Returns false to refuse the response; the attempt then ends as `interrupted`. */
  onHead(attempt: Attempt, head: responseHead.ResponseHead): boolean;
  /** Returns false to pause reading until `resume`. */
  onChunk(attempt: Attempt, chunk: Buffer): boolean;
  /** Called exactly once; `head` is null where none was read. */
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
  /** Compares the prediction with the response (design/admission 3). */
  observer: attemptObserver.AttemptObserver;
}

/** One attempt; undici's dispatcher calls its `on` methods. */
export class Attempt {
  /** A byte may have been sent. */
  isSent = false;
  isOver = false;
  /** When the last bytes arrived, or the attempt began; milliseconds of the steady clock. */
  receivedAt = 0;
  private head: responseHead.ResponseHead | null = null;
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

  /** `prefillTokens`: of the prompt, those that the runner has not cached. */
  start(prefillTokens = 0): void {
    this.isFirstUse = this.connection.isFresh;
    if (this.isFirstUse) this.connectTimer = this.clock.schedule(CONNECT_TIMEOUT_MS, () => this.onConnectTimeout());
    this.runner.inflight += 1;
    this.receivedAt = this.startedAt = this.clock.now();
    this.prefillTokens = prefillTokens;
    this.runner.outliers.recordSend(this.startedAt);
    this.runner.awaitFirstByte(this, this.startedAt + this.runner.outliers.overdueMs(this.workKind(), prefillTokens));
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

  /** The connection was not established: nothing was sent, and the request may go to another runner. */
  private onConnectTimeout(): void {
    if (this.isSent || this.isOver) return;
    this.runner.recordFailure("unreached", this.clock.now());
    this.finish("not_sent", false);
  }

  private workKind(): peerGroup.WorkKind {
    return this.request.isStream ? "stream_start" : "response";
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
      // A surplus response, one to an earlier request, or none of a runner's: nothing on this connection can be trusted.
      log.count("router.foreign_answer");
      this.interrupt("interrupted");
      return true;
    }
    this.head = head;
    if (responseHead.isNotExecuted(head)) {
      this.isNotExecuted = true;
      return true;
    }
    const isAccepted = this.listener.onHead(this, this.head);
    if (!isAccepted) this.interrupt(this.failureKind() ?? "interrupted");
    return true;
  }

  private interrupt(failure: failureKind.FailureKind): void {
    this.runner.recordFailure(failure, this.clock.now());
    this.finish("interrupted", false);
  }

  /** Bytes arrived. This is no success yet: a failure may follow the head, or be in it. */
  private recordReceived(): void {
    this.receivedAt = this.clock.now();
    this.runner.recordReceived(this.receivedAt);
    this.runner.recordFirstByte(this);
  }

  private failureKind(): failureKind.FailureKind | null {
    const status = this.head?.status ?? 0;
    if (this.isNotExecuted) return status === 421 || status === 400 ? null : "rejected";
    if (status < 500) return null;
    return status === 504 ? "late" : "error";
  }

  /** Records the time to the first chunk of a success, and the mean gap of a stream once enough chunks have come. */
  private recordTimings(): void {
    const status = this.head?.status ?? 0;
    if (status < 200 || status >= 300) return;
    const { runner, receivedAt } = this;
    this.chunkCount += 1;
    if (this.chunkCount === 1) {
      this.firstChunkAt = receivedAt;
      const firstChunkMs = receivedAt - this.startedAt;
      runner.outliers.recordDuration(this.workKind(), this.prefillTokens, firstChunkMs, receivedAt, runner.isLoaded(receivedAt));
    } else if (this.request.isStream && this.chunkCount === GAP_SAMPLE_CHUNKS + 1) {
      const gapMs = (receivedAt - this.firstChunkAt) / GAP_SAMPLE_CHUNKS;
      runner.outliers.recordDuration("gap", 0, gapMs, receivedAt, runner.isLoaded(receivedAt));
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

  /** Reads on after `onChunk` returned false. */
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
    const isClosing = this.head?.headers.get("connection")?.toLowerCase().includes("close") === true;
    this.finish(this.isNotExecuted ? "not_executed" : "complete", !isClosing);
  }

  /** A body that ends with its connection is complete only if the connection was closed without an error (RFC 9112, 8). */
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
    this.runner.recordFailure(this.errorKind(), this.clock.now());
    // A head that says "not executed" counts, whatever became of the rest of the response.
    this.finish(this.isNotExecuted ? "not_executed" : this.endingOfError(), false);
  }

  private errorKind(): failureKind.FailureKind {
    if (this.isNotExecuted) return this.failureKind() ?? "stale";
    if (!this.isSent) return "refused";
    const isStale = !this.isFirstUse && this.head === null;
    return isStale ? "stale" : "interrupted";
  }

  private endingOfError(): AttemptEnding {
    return this.isSent ? "interrupted" : "not_sent";
  }

  /** Gives the attempt up: nothing that the runner sends from now on is read. */
  cancel(): void {
    this.finish(this.endingOfError(), false);
  }

  /** `isReusable`: the connection is at the end of a response and may carry another request. */
  private finish(ending: AttemptEnding, isReusable: boolean): void {
    if (this.isOver) return;
    this.isOver = true;
    this.connectTimer?.stop();
    this.runner.recordFirstByte(this);
    this.runner.inflight -= 1;
    this.request.observer.recordEnd(OBSERVED_OUTCOMES[ending]);
    if (this.isStreaming) this.runner.streamingCount -= 1;
    if (!isReusable) this.abortSend?.();
    this.runner.connections.release(this.connection, isReusable, this.head?.headers.get("keep-alive"));
    if (this.runner.status !== "ready") this.runner.connections.closeIdle();
    this.listener.onEnd(this, ending, this.head);
  }
}
