/**
 * One request through the router (design 7.1): picks a runner, sends an attempt, forwards the response, retries where the
 * request may run again, and ends in exactly one outcome. `transition` makes every change of state.
 */
import type * as nodeHttp from "node:http";
import type * as admissionStats from "../admission/admission-stats.js";
import type * as routePlan from "../routing/route-plan.js";
import * as log from "../runtime/log.js";
import * as names from "../wire/names.js";
import type * as types from "../wire/types.js";
import * as clientResponse from "./client/client-response.js";
import * as responseHead from "./response-head.js";
import * as routeRequest from "./route-request.js";
import * as runnerAttempt from "./runner-attempt.js";
import type * as runnerPicker from "./runner-picker.js";
import type * as transactionContext from "./transaction-context.js";
import * as transactionState from "./transaction-state.js";

/** With less time than this before the deadline no attempt is begun. */
const MIN_REMAINING_MS = 10;
/** Attempts that fail before a byte is sent, for lack of a connection. */
const MAX_UNSENT_ATTEMPTS = 4;
/** Another router takes the request at once; in seconds. */
const SHUTDOWN_RETRY_S = 0.1;
/** Between two checks of a runner that is silent and can't be left yet. */
const SILENCE_CHECK_INTERVAL_MS = 250;

/** A prefill that this router waits for: tokens that the runner has to process, and since when. */
interface PendingPrefill {
  tokens: number;
  since: number;
}

/** One request of a client, from its complete body to the end of its response. */
export class Transaction implements runnerAttempt.AttemptListener {
  private state: transactionState.TransactionState = "receiving";
  private readonly attemptedRunners = new Set<string>();
  /** Attempts of which a byte may have been sent. */
  private sendCount = 0;
  private unsentCount = 0;
  private attempt: runnerAttempt.Attempt | null = null;
  private deadlineTimer: types.Timer | null = null;
  private prefill: PendingPrefill | null = null;
  private mayHaveRun = false;
  private hasBegun = false;
  private nextSilenceCheckAt = 0;
  private readonly response: clientResponse.ClientResponse;

  constructor(
    private readonly context: transactionContext.TransactionContext,
    readonly request: routeRequest.RouteRequest,
    private readonly incoming: nodeHttp.IncomingMessage,
    outgoing: nodeHttp.ServerResponse,
  ) {
    this.response = new clientResponse.ClientResponse(outgoing, context.isDraining);
    this.response.onClose(() => this.onClientClosed());
  }

  /** The one place where the state changes. `outcome`: of the request, with the last transition. */
  private transition(to: transactionState.TransactionState, outcome?: admissionStats.RequestOutcome): void {
    this.state = transactionState.transition(this.state, to);
    if (!outcome) return;
    this.context.picker.admission.stats.recordOutcome(outcome, this.request.rank);
    this.deadlineTimer?.stop();
    this.context.onFinished();
  }

  /** Begins the first attempt. Called once. */
  start(): void {
    this.deadlineTimer = this.context.clock.schedule(Math.max(0, this.remainingMs()), () => this.onDeadline());
    this.context.picker.countRequest(this.request);
    this.transition("picking");
    this.pickRunner();
  }

  private remainingMs(): number {
    return this.request.deadline - this.context.clock.now();
  }

  private pickRunner(): void {
    if (this.remainingMs() < MIN_REMAINING_MS) {
      this.reject({ status: 503, cause: "the deadline has passed", retryAfterS: 0.2 });
      return;
    }
    const pick = this.context.picker.pick(this.request, this.attemptedRunners, this.sendCount);
    if ("status" in pick) this.reject(pick);
    else this.sendTo(pick);
  }

  private sendTo(pick: runnerPicker.Pick): void {
    const { clock } = this.context;
    const remainingMs = this.remainingMs();
    this.attemptedRunners.add(pick.runner.id);
    this.sendCount += 1;
    const outgoing = routeRequest.buildOutgoingRequest(
      this.request,
      this.incoming,
      { target: pick.runner.id, budgetMs: Math.max(1, Math.floor(remainingMs)), lastEventId: this.response.lastEventId },
      pick.observer,
    );
    this.attempt = new runnerAttempt.Attempt(clock, pick.runner, pick.connection, this, outgoing);
    this.transition("sent");
    this.prefill = { tokens: this.context.recordSend(this.request, pick.runner.id), since: clock.now() };
    this.attempt.start(this.prefill.tokens);
  }

  /** Whether no runner was ever picked for it. */
  get wasNeverSent(): boolean {
    return this.attemptedRunners.size === 0;
  }

  /** Ends a request that cannot be sent. A status that says "not executed" is given only if nothing of it has run. */
  private reject(rejection: routePlan.Rejection): void {
    log.count("router.denied");
    if (this.response.isHeadSent || this.mayHaveRun) this.fail();
    else this.respond(rejection.status, rejection.cause, rejection.retryAfterS, "denied");
  }

  private fail(): void {
    if (this.response.isHeadSent) this.abort("lost");
    else this.respond(502, "the runner broke off and the request may have run", null, "lost");
  }

  private respond(status: number, message: string, retryAfterS: number | null, outcome: admissionStats.RequestOutcome): void {
    const { clock, picker } = this.context;
    if (outcome === "denied")
      picker.admission.stats.recordRejection(clock.now() - this.request.arrivedAt, message, this.attemptedRunners.size > 0);
    this.response.sendLocal(status, message, retryAfterS);
    this.transition("done", outcome);
  }

  private abort(outcome: admissionStats.RequestOutcome): void {
    log.count("router.broken_off");
    this.response.abort();
    this.transition("done", outcome);
  }

  /** A runner that responds, and does not say otherwise, has begun to run the request; further attempts are not counted. */
  private recordBegun(): void {
    if (this.hasBegun) return;
    this.hasBegun = true;
    this.context.onBegun();
  }

  onHead(_attempt: runnerAttempt.Attempt, head: responseHead.ResponseHead): boolean {
    const { entry } = this.request;
    const isSuccess = responseHead.isSuccess(head);
    // A stream begins with its first token.
    if (!isSuccess || entry.route.route_type !== "streaming") this.recordBegun();
    if (isSuccess && !responseHead.isSealed(head)) return false;
    if (this.response.isHeadSent) return this.resumeStream(head);
    // A status that clients read as "not executed" is forwarded only with the header that says so.
    if (responseHead.promisesNotExecuted(head)) return false;
    if (head.status >= 500 && entry.isRepeatable && this.hasAttemptsLeft()) return false;
    const isResumable = entry.route.route_type === "streaming" && isSuccess && entry.isRepeatable && !head.headers.has("content-length");
    this.response.sendHead(head, isResumable, () => this.attempt?.resume());
    this.transition("forwarding");
    return true;
  }

  /** A further runner continues a stream whose head the client has already; false: its response can't continue it. */
  private resumeStream(head: responseHead.ResponseHead): boolean {
    const canResume = head.status === 200 && this.response.isResumable;
    if (canResume) this.transition("forwarding");
    return canResume;
  }

  onChunk(_attempt: runnerAttempt.Attempt, chunk: Buffer): boolean {
    if (this.state !== "forwarding") return true;
    this.recordBegun();
    if (this.prefill) this.context.picker.prefills.learnRate(this.prefill.tokens, this.context.clock.now() - this.prefill.since);
    this.prefill = null;
    return this.response.write(chunk);
  }

  private hasAttemptsLeft(): boolean {
    return this.sendCount < this.context.picker.maxAttempts(this.request);
  }

  onEnd(attempt: runnerAttempt.Attempt, ending: runnerAttempt.AttemptEnding, head: responseHead.ResponseHead | null): void {
    if (this.state === "done" || attempt !== this.attempt) return;
    switch (ending) {
      case "complete":
        this.onComplete();
        break;
      case "not_sent":
        this.onNotSent();
        break;
      case "not_executed":
        this.onNotExecuted(attempt, head!);
        break;
      case "interrupted":
        this.onInterrupted();
    }
  }

  private onComplete(): void {
    if (this.state !== "forwarding") {
      this.onInterrupted();
      return;
    }
    this.response.end();
    this.transition("done", "whole");
  }

  private onNotSent(): void {
    this.sendCount -= 1;
    if (this.sendCount > 0) this.context.picker.returnRetry(this.request.service);
    this.unsentCount += 1;
    if (this.unsentCount > MAX_UNSENT_ATTEMPTS) this.reject({ status: 503, cause: "no runner takes a connection", retryAfterS: 0.4 });
    else this.retry();
  }

  /** The request itself asked for weights that the runner may not have: this says nothing of the runner to others. */
  private isForOtherVersion(head: responseHead.ResponseHead): boolean {
    return head.status === 421 && this.incoming.headers[names.HEADER.expectedVersion] !== undefined;
  }

  private onNotExecuted(attempt: runnerAttempt.Attempt, head: responseHead.ResponseHead): void {
    log.count("router.not_executed");
    if (!this.isForOtherVersion(head)) attempt.runner.recordRejection(this.context.clock.now(), head.status === 421);
    if (head.status === 400) {
      this.respond(400, "the runner finds the request malformed; send X-Cranewind-Request-Id", null, "denied");
      return;
    }
    if (this.hasAttemptsLeft()) this.retry();
    else this.reject({ status: 503, cause: "the runner handed the request back", retryAfterS: 0.3 });
  }

  /** The request may have run: only a repeatable one is retried, and a stream continues after its last complete event. */
  private onInterrupted(): void {
    this.mayHaveRun = true;
    this.response.discardPartialEvent();
    if (this.canRetry()) this.retry();
    else this.fail();
  }

  private retry(): void {
    this.transition("picking");
    log.count("router.retried");
    this.pickRunner();
  }

  /** Whether another runner may take it over: repeatable, with an attempt left, and no response begun that can't be resumed. */
  private canRetry(): boolean {
    return this.request.entry.isRepeatable && this.hasAttemptsLeft() && (!this.response.isHeadSent || this.response.isResumable);
  }

  /**
   * A repeatable request leaves a silent runner (design 7.9), but only once a retry is granted, with a runner and a
   * connection: without these it waits, since its runner may still be at work. Called periodically.
   */
  checkSilence(now: number): void {
    const { attempt, context } = this;
    if (!attempt?.isSent || attempt.isOver || now < this.nextSilenceCheckAt || !this.canRetry()) return;
    const timeoutMs = context.picker.silenceTimeoutMs(this.request.entry, this.state === "forwarding", attempt.runner, now);
    if (now - attempt.receivedAt < timeoutMs) return;
    if (this.nextSilenceCheckAt === 0) attempt.runner.recordSilence(now);
    this.nextSilenceCheckAt = now + SILENCE_CHECK_INTERVAL_MS;
    const pick = context.picker.pick(this.request, this.attemptedRunners, this.sendCount);
    if ("status" in pick) {
      log.count("router.retry_withheld");
      return;
    }
    this.nextSilenceCheckAt = 0;
    log.count("router.silent_abandoned");
    this.cancelAttempt();
    this.mayHaveRun = true;
    this.response.discardPartialEvent();
    this.transition("picking");
    this.sendTo(pick);
  }

  /** What the attempt's runner does from now on reaches nobody, and `onEnd` ignores its end. */
  private cancelAttempt(): void {
    const { attempt } = this;
    this.attempt = null;
    attempt?.cancel();
  }

  private onDeadline(): void {
    if (this.state === "done") return;
    if (this.response.isHeadSent) {
      this.cancelAttempt();
      this.abort("late");
    } else this.giveUp("the deadline has passed", 0.2);
  }

  /** The router ends now: a client without a head gets a status that says what is known; a begun response is left as it is. */
  endForShutdown(): void {
    if (this.state === "done" || this.response.isHeadSent) return;
    log.count("drain.given_up");
    this.giveUp("this router shuts down", SHUTDOWN_RETRY_S);
  }

  /** Before a head is sent: 504 where a runner may have run the request, else 503. */
  private giveUp(cause: string, retryAfterS: number): void {
    const isRunning = this.attempt !== null && this.attempt.isSent && !this.attempt.isOver;
    this.cancelAttempt();
    if (isRunning || this.mayHaveRun) this.respond(504, `${cause} while the request ran`, null, "late");
    else this.reject({ status: 503, cause, retryAfterS });
  }

  private onClientClosed(): void {
    if (this.state === "done") return;
    log.count("router.client_gone");
    this.cancelAttempt();
    this.transition("done", "left");
  }
}
