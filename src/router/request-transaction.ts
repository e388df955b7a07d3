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
export class Transaction implements runnerAttempt.Owner {
  state: transactionState.TransactionState = "reading";
  private readonly tried = new Set<string>();
  private sendCount = 0;
  private unsentCount = 0;
  private attempt: runnerAttempt.Attempt | null = null;
  private deadlineTimer: types.Timer | null = null;
  private reading: { tokens: number; since: number } | null = null;
  private mayHaveRun = false;
  private nextSilenceCheckAt = 0;
  private readonly reply: clientResponse.ClientResponse;

  constructor(
    private readonly context: transactionContext.TransactionContext,
    readonly request: routeRequest.RouteRequest,
    private readonly incoming: nodeHttp.IncomingMessage,
    outgoing: nodeHttp.ServerResponse,
  ) {
    this.reply = new clientResponse.ClientResponse(outgoing, context.isLeaving);
    this.reply.onClose(this.clientGone.bind(this));
  }

  /** `end`: what it came to, with the last change. */
  private move(to: transactionState.TransactionState, end?: admissionStats.RequestOutcome): void {
    this.state = transactionState.transition(this.state, to);
    if (!end) return;
    this.context.chooser.admission.stats.recordOutcome(end, this.request.rank);
    this.deadlineTimer?.stop();
    this.context.finished();
  }

  start(): void {
    this.deadlineTimer = this.context.world.schedule(
      Math.max(0, this.request.deadline - this.context.world.now()),
      this.expired.bind(this),
    );
    this.context.chooser.countRequest(this.request);
    this.move("choosing");
    this.choose();
  }

  /** Runs the chain and sends on; a rejection is told at once. */
  private choose(): void {
    const left = this.request.deadline - this.context.world.now();
    if (left < MIN_REMAINING_MS) {
      this.deny({ status: 503, cause: "the deadline has passed", retryAfterS: 0.2 });
      return;
    }
    const choice = this.context.chooser.pick(this.request, this.tried, this.sendCount);
    if ("status" in choice) this.deny(choice);
    else this.sendTo(choice);
  }

  private sendTo(choice: runnerPicker.Pick): void {
    const left = this.request.deadline - this.context.world.now();
    this.tried.add(choice.runner.id);
    this.sendCount += 1;
    const sending = { target: choice.runner.id, budgetMs: Math.max(1, Math.floor(left)), lastEventId: this.reply.lastEventId };
    this.attempt = new runnerAttempt.Attempt(
      this.context.world,
      choice.runner,
      choice.connection,
      this,
      routeRequest.sendable(this.request, this.incoming, sending, choice.ticket),
    );
    this.move("sent");
    this.reading = { tokens: this.context.sending(this.request, choice.runner.id), since: this.context.world.now() };
    this.attempt.start(this.reading.tokens);
  }

  /** Whether no runner was ever chosen for it. */
  get isUnsent(): boolean {
    return this.tried.size === 0;
  }

  /** Nothing has run, and nothing will: only then may a promise be given. */
  private deny(rejection: routePlan.Rejection): void {
    log.count("router.denied");
    if (this.reply.isHeadOut || this.mayHaveRun) this.lost();
    else this.finish(rejection.status, rejection.cause, rejection.retryAfterS, "denied");
  }

  private lost(): void {
    if (this.reply.isHeadOut) this.breakOff("lost");
    else this.finish(502, "the runner broke off and the request may have run", null, "lost");
  }

  private finish(status: number, message: string, retryAfterS: number | null, end: admissionStats.RequestOutcome): void {
    const { world, chooser } = this.context;
    if (end === "denied") chooser.admission.stats.recordRejection(world.now() - this.request.arrivedAt, message, this.tried.size > 0);
    this.reply.answer(status, message, retryAfterS);
    this.move("done", end);
  }

  private breakOff(end: admissionStats.RequestOutcome): void {
    log.count("router.broken_off");
    this.reply.breakOff();
    this.move("done", end);
  }

  onHead(_attempt: runnerAttempt.Attempt, head: responseHead.ResponseHead): boolean {
    const { entry } = this.request;
    const isSuccess = responseHead.isSuccess(head);
    if (isSuccess && !responseHead.isSealed(head)) return false;
    if (this.reply.isHeadOut) return this.isSameStream(head);
    // What doesn't say that the request has not run must not reach the client as a promise that it has not.
    if (responseHead.isPromise(head)) return false;
    if (head.status >= 500 && entry.isRepeatable && this.mayRepeat()) return false;
    const isResumable = entry.route.route_type === "streaming" && isSuccess && entry.isRepeatable && !head.headers.has("content-length");
    this.reply.begin(head, isResumable, () => this.attempt?.resume());
    this.move("passing");
    return true;
  }

  private isSameStream(head: responseHead.ResponseHead): boolean {
    const isSame = head.status === 200 && this.reply.isResumable;
    if (isSame) this.move("passing");
    return isSame;
  }

  onPiece(_attempt: runnerAttempt.Attempt, chunk: Buffer): boolean {
    if (this.state !== "passing") return true;
    if (this.reading) this.context.chooser.known.learn(this.reading.tokens, this.context.world.now() - this.reading.since);
    this.reading = null;
    return this.reply.write(chunk);
  }

  private mayRepeat(): boolean {
    return this.sendCount < this.context.chooser.mostSends(this.request);
  }

  onEnd(attempt: runnerAttempt.Attempt, ending: runnerAttempt.Ending, head: responseHead.ResponseHead | null): void {
    if (this.state === "done" || attempt !== this.attempt) return;
    if (ending === "complete") this.complete();
    else if (ending === "not_sent") this.notSent();
    else if (ending === "handed_back") this.handedBack(attempt, head!);
    else this.broken();
  }

  private complete(): void {
    if (this.state !== "passing") {
      this.broken();
      return;
    }
    this.reply.end();
    this.move("done", "whole");
  }

  private notSent(): void {
    if ((this.sendCount -= 1) > 0) this.context.chooser.giveBack(this.request.service);
    this.unsentCount += 1;
    if (this.unsentCount > MAX_UNSENT_ATTEMPTS) this.deny({ status: 503, cause: "no runner takes a connection", retryAfterS: 0.4 });
    else this.again();
  }

  private handedBack(attempt: runnerAttempt.Attempt, head: responseHead.ResponseHead): void {
    log.count("router.handed_back");
    attempt.runner.denied(this.context.world.now(), head.status === 421);
    if (head.status === 400) {
      this.finish(400, "the runner finds the request malformed; send X-Cranewind-Request-Id", null, "denied");
      return;
    }
    if (this.mayRepeat()) this.again();
    else this.deny({ status: 503, cause: "the runner handed the request back", retryAfterS: 0.3 });
  }

  /** Sent, and no whole reply: only what is repeatable goes on, a stream from its last whole event. */
  private broken(): void {
    this.mayHaveRun = true;
    this.reply.dropPart();
    if (this.canGoOn()) this.again();
    else this.lost();
  }

  private again(): void {
    this.move("choosing");
    log.count("router.again");
    this.choose();
  }

  /** Whether another runner may take it up: repeatable, a try left, and no answer begun that cannot be resumed. */
  private canGoOn(): boolean {
    return this.request.entry.isRepeatable && this.mayRepeat() && (!this.reply.isHeadOut || this.reply.isResumable);
  }

  /**
   * A repeatable request leaves a runner that fell silent (design 7.9), but only for a further try that is granted,
   * with a runner and a connection: without one it waits, since its runner may still be at work.
   */
  watch(now: number): void {
    const { attempt, context } = this;
    if (!attempt?.isSent || attempt.isOver || now < this.nextSilenceCheckAt || !this.canGoOn()) return;
    const quiet = now - attempt.receivedAt;
    if (quiet < context.chooser.patienceMs(this.request.entry, this.state === "passing", attempt.runner, now)) return;
    if (this.nextSilenceCheckAt === 0) attempt.runner.suspect(now);
    this.nextSilenceCheckAt = now + SILENCE_CHECK_INTERVAL_MS;
    const choice = context.chooser.pick(this.request, this.tried, this.sendCount);
    if ("status" in choice) {
      log.count("router.stayed");
      return;
    }
    this.nextSilenceCheckAt = 0;
    log.count("router.left_silent");
    this.attempt = null;
    attempt.cancel();
    this.mayHaveRun = true;
    this.reply.dropPart();
    this.move("choosing");
    this.sendTo(choice);
  }

  private expired(): void {
    if (this.state === "done") return;
    const attempt = this.attempt;
    const isOut = attempt !== null && attempt.isSent && !attempt.isOver;
    this.attempt = null;
    attempt?.cancel();
    if (this.reply.isHeadOut) this.breakOff("late");
    else if (isOut || this.mayHaveRun) this.finish(504, "the deadline passed while the request ran", null, "late");
    else this.deny({ status: 503, cause: "the deadline has passed", retryAfterS: 0.2 });
  }

  private clientGone(): void {
    if (this.state === "done") return;
    log.count("router.client_gone");
    const attempt = this.attempt;
    this.attempt = null;
    attempt?.cancel();
    this.move("done", "left");
  }
}
