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
export type Ending =
  | "not_sent" // no byte went out
  | "handed_back" // the runner says that it did not run it
  | "broken" // sent, and no whole reply: it may have run
  | "complete";

/** Hears of one attempt. */
export interface Owner {
  /** False: the head is not taken, and the attempt is over as broken. */
  onHead(attempt: Attempt, head: responseHead.ResponseHead): boolean;
  onPiece(attempt: Attempt, chunk: Buffer): boolean;
  onEnd(attempt: Attempt, ending: Ending, head: responseHead.ResponseHead | null): void;
}

/** A request as one attempt sends it. */
export interface Sendable {
  method: string;
  path: string;
  headers: string[];
  body: Buffer | null;
  requestId: types.RequestId;
  isStream: boolean;
  /** What was predicted of it; its reply teaches (design/admission 3). */
  ticket: attemptObserver.AttemptObserver;
}

/** One send; reads the answer as the dispatcher hands it over. */
export class Attempt {
  isSent = false;
  isOver = false;
  receivedAt = 0;
  head: responseHead.ResponseHead | null = null;
  isPassing = false;
  private connectTimer: types.Timer | null = null;
  private startedAt = 0;
  private tokens = 0;
  private chunkCount = 0;
  private firstChunkAt = 0;
  private isNotExecuted = false;
  private isFirstUse = false;
  private isStreaming = false;
  private abortSend: ((reason?: Error) => void) | null = null;
  private resumeRead: (() => void) | null = null;

  constructor(
    private readonly world: types.Clock,
    readonly runner: runnerEndpoint.RunnerEndpoint,
    private readonly connection: connectionPool.Connection,
    private readonly owner: Owner,
    private readonly what: Sendable,
  ) {}

  /** `tokens`: of its prompt, those that the runner has to read. */
  start(tokens = 0): void {
    this.isFirstUse = this.connection.isFresh;
    if (this.isFirstUse) this.connectTimer = this.world.schedule(CONNECT_TIMEOUT_MS, this.onConnectTimeout.bind(this));
    this.runner.inflight += 1;
    this.receivedAt = this.startedAt = this.world.now();
    this.tokens = tokens;
    this.runner.outcomes.sent(this.startedAt);
    this.runner.awaitFirstByte(this, this.startedAt + this.runner.outcomes.overdueMs(this.work(), tokens));
    if (this.runner.inflight === 1) this.runner.sentAt = this.receivedAt;
    const { method, path, headers, body } = this.what;
    try {
      this.connection.client.dispatch(
        { method: method as undici.Dispatcher.HttpMethod, path, headers, body },
        this as unknown as undici.Dispatcher.DispatchHandlers,
      );
    } catch {
      this.end("not_sent", true);
    }
  }

  /** No connection came up: nothing was sent, and the request may go elsewhere. */
  private onConnectTimeout(): void {
    if (this.isSent || this.isOver) return;
    this.runner.sign("unreached", this.world.now());
    this.end("not_sent", false);
  }

  private work(): "start" | "reply" {
    return this.what.isStream ? "start" : "reply";
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
    this.received();
    this.resumeRead = resume;
    const head = { status, raw, headers: http.headerMap(raw) };
    if (!responseHead.isOf(head, this.what.requestId)) {
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
    this.isPassing = this.owner.onHead(this, this.head);
    if (!this.isPassing) this.discard(this.failure() ?? "broken");
    return true;
  }

  private discard(sign: failureKind.FailureKind): void {
    this.runner.sign(sign, this.world.now());
    this.end("broken", false);
  }

  /** A head alone proves nothing: a failure may follow, or be in it. */
  private received(): void {
    this.receivedAt = this.world.now();
    this.runner.received(this.receivedAt);
    this.runner.firstByteArrived(this);
  }

  private failure(): failureKind.FailureKind | null {
    const status = this.head?.status ?? 0;
    if (this.isNotExecuted) return status === 421 || status === 400 ? null : "shed";
    if (status < 500) return null;
    return status === 504 ? "late" : "error";
  }

  /** Time to the first byte once, and between events once after some of them. */
  private time(): void {
    const status = this.head?.status ?? 0;
    if (status < 200 || status >= 300) return;
    const { runner, receivedAt } = this;
    this.chunkCount += 1;
    if (this.chunkCount === 1) {
      this.firstChunkAt = receivedAt;
      runner.outcomes.took(this.work(), this.tokens, receivedAt - this.startedAt, receivedAt, runner.isLoaded(receivedAt));
    } else if (this.what.isStream && this.chunkCount === GAP_SAMPLE_CHUNKS + 1) {
      runner.outcomes.took("gap", 0, (receivedAt - this.firstChunkAt) / GAP_SAMPLE_CHUNKS, receivedAt, runner.isLoaded(receivedAt));
    }
  }

  onData(chunk: Buffer): boolean {
    if (this.isOver) return true;
    this.received();
    if (this.isNotExecuted) return true;
    this.time();
    this.what.ticket.recordEvent();
    if (!this.isStreaming && this.what.isStream) {
      this.isStreaming = true;
      this.runner.streaming += 1;
    }
    return this.owner.onPiece(this, chunk);
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
    this.judge();
    const isLeaving = this.head?.headers.get("connection")?.toLowerCase().includes("close") === true;
    this.end(this.isNotExecuted ? "handed_back" : "complete", !isLeaving);
  }

  /** A body that ends with its connection is whole only if that ended in order (RFC 9112, 8). */
  private isTruncated(): boolean {
    return this.connection.hasFailed && this.head !== null && responseHead.endsWithConnection(this.head, this.what.method);
  }

  private judge(): void {
    const now = this.world.now();
    const failure = this.failure();
    if (failure) this.runner.sign(failure, now);
    else if (!this.isNotExecuted) this.runner.outcomes.succeed(now);
  }

  onError(cause?: { code?: unknown }): void {
    if (this.isOver) return;
    if (this.isSent && !this.head && idleTimeout.isReset(cause)) this.runner.connections.broke(this.connection);
    const isStale = this.isSent && !this.isFirstUse && this.head === null;
    const broken = isStale ? "stale" : "broken";
    this.runner.sign(this.isNotExecuted ? (this.failure() ?? "stale") : this.isSent ? broken : "refused", this.world.now());
    // A denial whose head was read stands, whatever became of the rest.
    this.end(this.isNotExecuted ? "handed_back" : this.isSent ? "broken" : "not_sent", false);
  }

  /** Gives the attempt up: what the runner does from now on reaches nobody. */
  cancel(): void {
    this.end(this.isSent ? "broken" : "not_sent", false);
  }

  private end(ending: Ending, isClean: boolean): void {
    if (this.isOver) return;
    this.isOver = true;
    this.connectTimer?.stop();
    this.runner.firstByteArrived(this);
    this.runner.inflight -= 1;
    this.what.ticket.recordEnd(ending === "complete" ? "complete" : ending === "broken" ? "stopped" : "not_run");
    if (this.isStreaming) this.runner.streaming -= 1;
    if (!isClean) this.abortSend?.();
    this.runner.connections.give(this.connection, isClean, this.head?.headers.get("keep-alive"));
    if (this.runner.status !== "ready") this.runner.connections.closeIdle();
    this.owner.onEnd(this, ending, this.head);
  }
}
