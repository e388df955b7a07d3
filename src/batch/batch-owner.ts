/**
 * The owner of all batches (design/batch 7): one control node at a time, by a term in the batch register. It marks items
 * as sent before it sends them, records each answer before it marks the item as done, and recovers the attempts of the
 * former owner. The term fences: an owner whose term is over can't change the table.
 */
import * as log from "../runtime/log.js";
import type * as schema from "../wire/batch-schema.js";
import type * as registerSchema from "../wire/register-schema.js";
import type * as types from "../wire/types.js";
import * as timers from "../runtime/timers.js";
import type * as registerStep from "../register/register-step.js";
import * as batchAttempt from "./batch-attempt.js";
import * as attemptRecovery from "./attempt-recovery.js";
import * as items from "./items.js";
import type * as replicas from "./replicas.js";
import * as steps from "./steps.js";
import * as ownerElection from "./owner-election.js";
import * as tables from "./table.js";
import * as itemQueue from "./item-queue.js";

/** Timeout of one change of the batch register. */
const CHANGE_TIMEOUT_MS = 2500;
/** An item is sent at most this long after the start of the change that marks it as sent. */
const SEND_DEADLINE_MS = 2500;
/** With nothing else to change the owner advances the batch clock this often, which shows that it is alive. */
const HEARTBEAT_INTERVAL_MS = 4000;
/** Shortest interval between changes, so that one change covers many attempts. */
const MIN_CHANGE_INTERVAL_MS = 300;

/** Interval between checks whether all attempts have ended, while this node shuts down. */
const FINISH_POLL_MS = 50;

/** The batch register, as the owner changes it. */
export interface Register {
  readonly chosen: registerSchema.Value | null;
  submitOrder(step: registerStep.Step, withinMs: number): Promise<registerStep.Outcome>;
}

/** What the owner depends on. */
export interface Dependencies extends itemQueue.QueueDependencies, ownerElection.Peers {
  readonly clock: types.Clock;
  /** Incarnation of this process; identifies the owner in the table. */
  readonly incarnation: string;
  readonly register: Register;
  readonly replicas: Pick<replicas.Replicas, "put" | "find">;
  /** Whether a majority of the core confirms this node now. */
  isConfirmed(): boolean;
  /** Sends one item by a router of the region; never rejects. */
  send(send: itemQueue.PlannedSend, batch: schema.Batch): Promise<batchAttempt.AttemptAnswer>;
  /** The longest that an attempt at an item of the route may take, in milliseconds. */
  longestMs(route: string): number;
  /** An attempt of this owner has ended. */
  onAttemptEnded(batch: schema.Batch, attempt: itemQueue.InFlightAttempt, outcome: batchAttempt.AttemptOutcome): void;
}

/** Owns the batches while its term lasts; `runPeriodically` is called every 100 ms. */
export class BatchOwner implements batchAttempt.Recorder {
  private readonly inFlight = new Map<string, itemQueue.InFlightAttempt>();
  private readonly endedAttempts: steps.EndedAttempt[] = [];
  private readonly queue: itemQueue.ItemQueue;
  private readonly election: ownerElection.OwnerElection;
  private recovery: attemptRecovery.AttemptRecovery | null = null;
  private isChanging = false;
  private changedAt: types.SteadyMs;
  readonly clock: types.Clock;
  readonly replicas: Dependencies["replicas"];

  constructor(private readonly dependencies: Dependencies) {
    this.clock = dependencies.clock;
    this.replicas = dependencies.replicas;
    this.changedAt = dependencies.clock.now();
    this.queue = new itemQueue.ItemQueue(dependencies.clock, dependencies);
    this.election = new ownerElection.OwnerElection(dependencies.clock, dependencies);
  }

  private get table(): schema.BatchTable | null {
    const { chosen } = this.dependencies.register;
    return chosen && tables.tableOf(chosen);
  }

  isOwner(): boolean {
    return this.table?.owner === this.dependencies.incarnation;
  }

  /** Attempts of this node in flight. */
  get inFlightCount(): number {
    return this.inFlight.size;
  }

  /**
   * Resolves when no attempt of this node is in flight, nor about to be sent: an attempt that is given up may have run, and its
   * item could not be sent again. Called once the node is not confirmed any more, so that no further ones begin.
   */
  async finishInFlight(): Promise<void> {
    while (this.inFlight.size > 0 || this.isChanging) await timers.sleep(this.clock, FINISH_POLL_MS);
  }

  runPeriodically(): void {
    const { table } = this;
    if (!table || this.isChanging || !this.dependencies.isConfirmed()) return;
    if (table.owner === this.dependencies.incarnation) this.runAsOwner(table);
    else this.followOwner(table);
  }

  private followOwner(table: schema.BatchTable): void {
    if (this.recovery) log.state(`batch: another control node owns the batches, term ${table.term}`);
    this.recovery = null;
    this.endedAttempts.length = 0;
    if (!this.election.shouldClaim(table, this.dependencies.register.chosen!.epoch)) return;
    void this.submitChange((read) => steps.claim(read, table.term, this.dependencies.incarnation));
  }

  private runAsOwner(table: schema.BatchTable): void {
    const recovery = this.recoveryOf(table);
    this.endedAttempts.push(...recovery.takeEndedAttempts());
    const now = this.clock.now();
    if (tables.openBatches(table).length === 0 && this.endedAttempts.length === 0) {
      this.changedAt = now;
      return;
    }
    if (now - this.changedAt < MIN_CHANGE_INTERVAL_MS) return;
    const sends = this.queue.nextSends(table, this.inFlight.values());
    if (sends.length === 0 && this.endedAttempts.length === 0 && now - this.changedAt < HEARTBEAT_INTERVAL_MS) return;
    void this.advance(table, sends);
  }

  /** The recovery of this term; at the start of a term, a new one over the former owner's attempts in flight. */
  private recoveryOf(table: schema.BatchTable): attemptRecovery.AttemptRecovery {
    if (this.recovery?.term === table.term) return this.recovery;
    log.state(`batch: this node owns the batches, term ${table.term}`);
    this.changedAt = this.clock.now();
    this.recovery = new attemptRecovery.AttemptRecovery(this.dependencies, table);
    return this.recovery;
  }

  private async advance(table: schema.BatchTable, sends: itemQueue.PlannedSend[]): Promise<void> {
    const { incarnation } = this.dependencies;
    const startedAt = this.clock.now();
    const ended = [...this.endedAttempts];
    const change = { term: table.term, elapsedMs: startedAt - this.changedAt, ended, sends };
    const next = await this.submitChange((read) => steps.advance(read, incarnation, change));
    if (!next) {
      // The change may have been chosen or not: ends are reported again, and unsent items are reported as not run.
      for (const send of sends) this.endedAttempts.push({ ...send, end: "not_run" });
      return;
    }
    this.changedAt = startedAt;
    this.endedAttempts.splice(0, ended.length);
    const isLate = this.clock.now() - startedAt > SEND_DEADLINE_MS;
    for (const send of sends) {
      const batch = tables.findNumber(next, send.number);
      const item = batch && items.itemAt(batch.items, send.index);
      if (!item || item.state !== "sent" || item.attempt !== send.attempt) continue;
      if (isLate) this.endedAttempts.push({ ...send, end: "not_run" });
      else void this.sendItem(batch, send);
    }
  }

  private async sendItem(batch: schema.Batch, send: itemQueue.PlannedSend): Promise<void> {
    const key = itemQueue.itemKey(send);
    const attempt = { ...send, sentAt: this.clock.now() };
    this.inFlight.set(key, attempt);
    log.count("batch.sent");
    const answer = await this.dependencies.send(send, batch);
    const outcome = await batchAttempt.finishAttempt(this, { digest: batch.digest, item: send.index, attempt: send.attempt }, answer);
    this.inFlight.delete(key);
    log.count(`batch.${outcome.end}`);
    this.queue.postpone(send, outcome.retryAfterMs);
    this.dependencies.onAttemptEnded(batch, attempt, outcome);
    if (this.isOwner()) this.endedAttempts.push({ ...send, end: outcome.end });
  }

  /** The table that was chosen with the change; null: nothing is known, or another owner's term has begun. */
  private async submitChange(step: (table: schema.BatchTable) => steps.Outcome): Promise<schema.BatchTable | null> {
    this.isChanging = true;
    const outcome = await this.dependencies.register.submitOrder(registrationStep(step), CHANGE_TIMEOUT_MS);
    this.isChanging = false;
    if (outcome.isErr) log.count(`batch.change_${outcome.error.code}`);
    return outcome.isOk ? tables.tableOf(outcome.value) : null;
  }
}

/** A change of the table as a step of the register's value. */
export function registrationStep(step: (table: schema.BatchTable) => steps.Outcome): registerStep.Step {
  return (value) => {
    const table = tables.tableOf(value);
    return step(table).map((next) => (next === table ? value : tables.withTable(value, next)));
  };
}
