// One request through the router: explicit states, one function for every change (design 7.1).
import type * as nodeHttp from "node:http";
import type * as admissionStats from "../admission/admission-stats.js";
import * as log from "../runtime/log.js";
import type * as types from "../wire/types.js";
import * as responseHead from "./response-head.js";
import * as runnerAttempt from "./runner-attempt.js";
import type * as runnerPicker from "./runner-picker.js";
import * as clientResponse from "./client/client-response.js";
import type * as transactionContext from "./transaction-context.js";
import type * as routePlan from "../routing/route-plan.js";
import * as routeRequest from "./route-request.js";
import * as transactionState from "./transaction-state.js";

const MIN_REMAINING_MS = 10;
const MAX_UNSENT_ATTEMPTS = 4;
const SILENCE_CHECK_INTERVAL_MS = 250;

/** One request of a client, from its body to the end of its answer. */
export class Transaction implements runnerAttempt.AttemptListener {
  state: transactionState.TransactionState = "reading";
  private readonly attemptedRunners = new Set<string>();
  private sendCount = 0;
  private unsentCount = 0;
  private attempt: runnerAttempt.Attempt | null = null;
  private deadlineTimer: types.Timer | null = null;
  private prefill: { tokens: number; since: number } | null = null;
  private mayHaveRun = false;
  private nextSilenceCheckAt = 0;
  private readonly response: clientResponse.ClientResponse;

  constructor(
    private readonly context: transactionContext.TransactionContext,
    readonly request: routeRequest.RouteRequest,
    private readonly incoming: nodeHttp.IncomingMessage,
    outgoing: nodeHttp.ServerResponse,
  ) {
    this.response = new clientResponse.ClientResponse(outgoing, context.isDraining);
    this.response.onClose(this.onClientClosed.bind(this));
  }

  /** `end`: what it came to, with the last change. */
  private transition(to: transactionState.TransactionState, end?: admissionStats.RequestOutcome): void {
    this.state = transactionState.transition(this.state, to);
    if (!end) return;
    this.context.picker.admission.stats.recordOutcome(end, this.request.rank);
    this.deadlineTimer?.stop();
    this.context.onFinished();
  }

  start(): void {
    this.deadlineTimer = this.context.clock.schedule(
      Math.max(0, this.request.deadline - this.context.clock.now()),
      this.onDeadline.bind(this),
    );
    this.context.picker.countRequest(this.request);
    this.transition("choosing");
    this.pickRunner();
  }

  /** Runs the chain and sends on; a rejection is told at once. */
  private pickRunner(): void {
    const left = this.request.deadline - this.context.clock.now();
    if (left < MIN_REMAINING_MS) {
      this.reject({ status: 503, cause: "the deadline has passed", retryAfterS: 0.2 });
      return;
    }
    const choice = this.context.picker.pick(this.request, this.attemptedRunners, this.sendCount);
    if ("status" in choice) this.reject(choice);
    else this.sendTo(choice);
  }

  private sendTo(choice: runnerPicker.Pick): void {
    const left = this.request.deadline - this.context.clock.now();
    this.attemptedRunners.add(choice.runner.id);
    this.sendCount += 1;
    const sending = { target: choice.runner.id, budgetMs: Math.max(1, Math.floor(left)), lastEventId: this.response.lastEventId };
    this.attempt = new runnerAttempt.Attempt(
      this.context.clock,
      choice.runner,
      choice.connection,
      this,
      routeRequest.buildOutgoingRequest(this.request, this.incoming, sending, choice.observer),
    );
    this.transition("sent");
    this.prefill = { tokens: this.context.recordSend(this.request, choice.runner.id), since: this.context.clock.now() };
    this.attempt.start(this.prefill.tokens);
  }

  /** Whether no runner was ever chosen for it. */
  get wasNeverSent(): boolean {
    return this.attemptedRunners.size === 0;
  }

  /** Nothing has run, and nothing will: only then may a promise be given. */
  private reject(rejection: routePlan.Rejection): void {
    log.count("router.denied");
    if (this.response.isHeadSent || this.mayHaveRun) this.fail();
    else this.respond(rejection.status, rejection.cause, rejection.retryAfterS, "denied");
  }

  private fail(): void {
    if (this.response.isHeadSent) this.abort("lost");
    else this.respond(502, "the runner broke off and the request may have run", null, "lost");
  }

  private respond(status: number, message: string, retryAfterS: number | null, end: admissionStats.RequestOutcome): void {
    const { clock: world, picker: chooser } = this.context;
    if (end === "denied")
      chooser.admission.stats.recordRejection(world.now() - this.request.arrivedAt, message, this.attemptedRunners.size > 0);
    this.response.sendLocal(status, message, retryAfterS);
    this.transition("done", end);
  }

  private abort(end: admissionStats.RequestOutcome): void {
    log.count("router.broken_off");
    this.response.abort();
    this.transition("done", end);
  }

  onHead(_attempt: runnerAttempt.Attempt, head: responseHead.ResponseHead): boolean {
    const { entry } = this.request;
    const isSuccess = responseHead.isSuccess(head);
    if (isSuccess && !responseHead.isSealed(head)) return false;
    if (this.response.isHeadSent) return this.isSameStream(head);
    // What doesn't say that the request has not run must not reach the client as a promise that it has not.
    if (responseHead.promisesNotExecuted(head)) return false;
    if (head.status >= 500 && entry.isRepeatable && this.hasAttemptsLeft()) return false;
    const isResumable = entry.route.route_type === "streaming" && isSuccess && entry.isRepeatable && !head.headers.has("content-length");
    this.response.sendHead(head, isResumable, () => this.attempt?.resume());
    this.transition("passing");
    return true;
  }

  private isSameStream(head: responseHead.ResponseHead): boolean {
    const isSame = head.status === 200 && this.response.isResumable;
    if (isSame) this.transition("passing");
    return isSame;
  }

  onChunk(_attempt: runnerAttempt.Attempt, chunk: Buffer): boolean {
    if (this.state !== "passing") return true;
    if (this.prefill) this.context.picker.prefills.learnRate(this.prefill.tokens, this.context.clock.now() - this.prefill.since);
    this.prefill = null;
    return this.response.write(chunk);
  }

  private hasAttemptsLeft(): boolean {
    return this.sendCount < this.context.picker.maxAttempts(this.request);
  }

  onEnd(attempt: runnerAttempt.Attempt, ending: runnerAttempt.AttemptEnding, head: responseHead.ResponseHead | null): void {
    if (this.state === "done" || attempt !== this.attempt) return;
    if (ending === "complete") this.onComplete();
    else if (ending === "not_sent") this.onNotSent();
    else if (ending === "handed_back") this.onNotExecuted(attempt, head!);
    else this.onInterrupted();
  }

  private onComplete(): void {
    if (this.state !== "passing") {
      this.onInterrupted();
      return;
    }
    this.response.end();
    this.transition("done", "whole");
  }

  private onNotSent(): void {
    if ((this.sendCount -= 1) > 0) this.context.picker.giveBack(this.request.service);
    this.unsentCount += 1;
    if (this.unsentCount > MAX_UNSENT_ATTEMPTS) this.reject({ status: 503, cause: "no runner takes a connection", retryAfterS: 0.4 });
    else this.retry();
  }

  private onNotExecuted(attempt: runnerAttempt.Attempt, head: responseHead.ResponseHead): void {
    log.count("router.handed_back");
    attempt.runner.recordRejection(this.context.clock.now(), head.status === 421);
    if (head.status === 400) {
      this.respond(400, "the runner finds the request malformed; send X-Cranewind-Request-Id", null, "denied");
      return;
    }
    if (this.hasAttemptsLeft()) this.retry();
    else this.reject({ status: 503, cause: "the runner handed the request back", retryAfterS: 0.3 });
  }

  /** Sent, and no whole reply: only what is repeatable goes on, a stream from its last whole event. */
  private onInterrupted(): void {
    this.mayHaveRun = true;
    this.response.discardPartialEvent();
    if (this.canRetry()) this.retry();
    else this.fail();
  }

  private retry(): void {
    this.transition("choosing");
    log.count("router.again");
    this.pickRunner();
  }

  /** Whether another runner may take it up: repeatable, a try left, and no answer begun that cannot be resumed. */
  private canRetry(): boolean {
    return this.request.entry.isRepeatable && this.hasAttemptsLeft() && (!this.response.isHeadSent || this.response.isResumable);
  }

  /**
   * A repeatable request leaves a runner that fell silent (design 7.9), but only for a further try that is granted,
   * with a runner and a connection: without one it waits, since its runner may still be at work.
   */
  checkSilence(now: number): void {
    const { attempt, context } = this;
    if (!attempt?.isSent || attempt.isOver || now < this.nextSilenceCheckAt || !this.canRetry()) return;
    const quiet = now - attempt.receivedAt;
    if (quiet < context.picker.silenceTimeoutMs(this.request.entry, this.state === "passing", attempt.runner, now)) return;
    if (this.nextSilenceCheckAt === 0) attempt.runner.recordSilence(now);
    this.nextSilenceCheckAt = now + SILENCE_CHECK_INTERVAL_MS;
    const choice = context.picker.pick(this.request, this.attemptedRunners, this.sendCount);
    if ("status" in choice) {
      log.count("router.stayed");
      return;
    }
    this.nextSilenceCheckAt = 0;
    log.count("router.left_silent");
    this.attempt = null;
    attempt.cancel();
    this.mayHaveRun = true;
    this.response.discardPartialEvent();
    this.transition("choosing");
    this.sendTo(choice);
  }

  private onDeadline(): void {
    if (this.state === "done") return;
    const attempt = this.attempt;
    const isOut = attempt !== null && attempt.isSent && !attempt.isOver;
    this.attempt = null;
    attempt?.cancel();
    if (this.response.isHeadSent) this.abort("late");
    else if (isOut || this.mayHaveRun) this.respond(504, "the deadline passed while the request ran", null, "late");
    else this.reject({ status: 503, cause: "the deadline has passed", retryAfterS: 0.2 });
  }

  private onClientClosed(): void {
    if (this.state === "done") return;
    log.count("router.client_gone");
    const attempt = this.attempt;
    this.attempt = null;
    attempt?.cancel();
    this.transition("done", "left");
  }
}
