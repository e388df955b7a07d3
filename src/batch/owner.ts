/**
 * The owner of all batches (design/batch 7): one control node at a time, by a term in the batch register. It marks items
 * as sent before it sends them, records each answer before it marks the item as done, and goes on where a former owner
 * ended. Whoever's term is over can change nothing any more.
 */
import * as log from "../runtime/log.js";
import type * as schema from "../wire/batch-schema.js";
import type * as registerSchema from "../wire/register-schema.js";
import type * as types from "../wire/types.js";
import type * as registerStep from "../register/register-step.js";
import * as attempt from "./attempt.js";
import * as inheritance from "./inheritance.js";
import * as items from "./items.js";
import type * as replicas from "./replicas.js";
import * as steps from "./steps.js";
import * as succession from "./succession.js";
import * as tables from "./table.js";
import * as worklist from "./worklist.js";

/** A change is tried for so long, and an item sent at most so long after the change that marks it was begun. */
const CHANGE_MS = 2500;
const SEND_WITHIN_MS = 2500;
/** With nothing else to change the owner shows so often that it is there, and the batch clock moves on. */
const SIGN_OF_LIFE_MS = 4000;
/** Changes are at least so far apart, so that many attempts share one. */
const CHANGE_EVERY_MS = 300;

/** The batch register, as the owner changes it. */
export interface Register {
  readonly chosen: registerSchema.Value | null;
  submitOrder(step: registerStep.Step, withinMs: number): Promise<registerStep.Outcome>;
}

/** What the owner needs around it. */
export interface Dependencies extends worklist.Surroundings, succession.Siblings {
  readonly clock: types.Clock;
  /** Of this process; names the owner. */
  readonly life: string;
  readonly register: Register;
  readonly replicas: Pick<replicas.Replicas, "put" | "find">;
  /** Whether a majority of the core confirms this node now. */
  isConfirmed(): boolean;
  /** Sends one item by a router of the region; never rejects. */
  send(send: worklist.Send, batch: schema.Batch): Promise<attempt.Answer>;
  /** The longest that an attempt at an item of the route may take, in milliseconds. */
  longestMs(route: string): number;
  /** An attempt of this owner has ended. */
  attemptEnded(batch: schema.Batch, send: worklist.AtWork, ended: attempt.Ended): void;
}

/** Owns the batches while its term lasts; `turn` is called each 100 ms. */
export class Owner implements attempt.Recorder {
  private readonly atWork = new Map<string, worklist.AtWork>();
  private readonly ended: steps.EndedAttempt[] = [];
  private readonly worklist: worklist.Worklist;
  private readonly succession: succession.Succession;
  private inheritance: inheritance.Inheritance | null = null;
  private isChanging = false;
  private changedAt: types.SteadyMs;
  readonly clock: types.Clock;
  readonly replicas: Dependencies["replicas"];

  constructor(private readonly needs: Dependencies) {
    this.clock = needs.clock;
    this.replicas = needs.replicas;
    this.changedAt = needs.clock.now();
    this.worklist = new worklist.Worklist(needs.clock, needs);
    this.succession = new succession.Succession(needs.clock, needs);
  }

  private get table(): schema.BatchTable | null {
    const { chosen } = this.needs.register;
    return chosen && tables.tableOf(chosen);
  }

  isOwner(): boolean {
    return this.table?.owner === this.needs.life;
  }

  /** Attempts of this node that are under way. */
  get working(): number {
    return this.atWork.size;
  }

  turn(): void {
    const { table } = this;
    if (!table || this.isChanging || !this.needs.isConfirmed()) return;
    if (table.owner === this.needs.life) this.work(table);
    else this.follow(table);
  }

  private follow(table: schema.BatchTable): void {
    if (this.inheritance) log.state(`batch: another control node owns the batches, term ${table.term}`);
    this.inheritance = null;
    this.ended.length = 0;
    if (!this.succession.isDue(table, this.needs.register.chosen!.epoch)) return;
    void this.change((read) => steps.claim(read, table.term, this.needs.life));
  }

  private work(table: schema.BatchTable): void {
    const inheritance = this.inherit(table);
    this.ended.push(...inheritance.settled());
    const now = this.clock.now();
    if (tables.openBatches(table).length === 0 && this.ended.length === 0) {
      this.changedAt = now;
      return;
    }
    if (now - this.changedAt < CHANGE_EVERY_MS) return;
    const sends = this.worklist.next(table, this.atWork.values());
    if (sends.length === 0 && this.ended.length === 0 && now - this.changedAt < SIGN_OF_LIFE_MS) return;
    void this.advance(table, sends);
  }

  /** At the begin of a term: what was under way at the former owner. */
  private inherit(table: schema.BatchTable): inheritance.Inheritance {
    if (this.inheritance?.term === table.term) return this.inheritance;
    log.state(`batch: this node owns the batches, term ${table.term}`);
    this.changedAt = this.clock.now();
    this.inheritance = new inheritance.Inheritance(this.needs, table);
    return this.inheritance;
  }

  private async advance(table: schema.BatchTable, sends: worklist.Send[]): Promise<void> {
    const { life } = this.needs;
    const startedAt = this.clock.now();
    const ended = [...this.ended];
    const change = { term: table.term, elapsedMs: startedAt - this.changedAt, ended, sends };
    const next = await this.change((read) => steps.advance(read, life, change));
    if (!next) {
      // It may have been chosen or not: ends are told again, and what was not sent is told as such.
      for (const send of sends) this.ended.push({ ...send, end: "not_run" });
      return;
    }
    this.changedAt = startedAt;
    this.ended.splice(0, ended.length);
    const isLate = this.clock.now() - startedAt > SEND_WITHIN_MS;
    for (const send of sends) {
      const batch = tables.findNumber(next, send.number);
      const item = batch && items.itemAt(batch.items, send.index);
      if (!item || item.state !== "sent" || item.attempt !== send.attempt) continue;
      if (isLate) this.ended.push({ ...send, end: "not_run" });
      else void this.attempt(batch, send);
    }
  }

  private async attempt(batch: schema.Batch, send: worklist.Send): Promise<void> {
    const key = worklist.keyOf(send);
    const atWork = { ...send, sentAt: this.clock.now() };
    this.atWork.set(key, atWork);
    log.count("batch.sent");
    const answer = await this.needs.send(send, batch);
    const ended = await attempt.finish(this, { digest: batch.digest, item: send.index, attempt: send.attempt }, answer);
    this.atWork.delete(key);
    log.count(`batch.${ended.end}`);
    this.worklist.pause(send, ended.againMs);
    this.needs.attemptEnded(batch, atWork, ended);
    if (this.isOwner()) this.ended.push({ ...send, end: ended.end });
  }

  /** The table that was chosen with the change; null: nothing is known, or another owner's term has begun. */
  private async change(step: (table: schema.BatchTable) => steps.Outcome): Promise<schema.BatchTable | null> {
    this.isChanging = true;
    const outcome = await this.needs.register.submitOrder(registrationStep(step), CHANGE_MS);
    this.isChanging = false;
    if (outcome.isErr) log.count(`batch.change_${outcome.error.code}`);
    return outcome.isOk ? tables.tableOf(outcome.value) : null;
  }
}

/** A change of the table as one of the register's value. */
export function registrationStep(step: (table: schema.BatchTable) => steps.Outcome): registerStep.Step {
  return function change(value) {
    const table = tables.tableOf(value);
    return step(table).map((next) => (next === table ? value : tables.withTable(value, next)));
  };
}
