/**
 * Random histories of owners of batches (design/batch 7): control nodes that crash, freeze and lose touch, changes whose
 * outcome is not told, runners that run without saying so, disks that refuse. A checker follows every run and every
 * recorded answer. Guards of the sources can be taken out, to see the checker fail.
 */
import * as result from "true-myth/result";
import type * as batchAttempt from "../../src/batch/batch-attempt.js";
import * as items from "../../src/batch/items.js";
import * as batchOwner from "../../src/batch/batch-owner.js";
import type * as replicas from "../../src/batch/replicas.js";
import * as steps from "../../src/batch/steps.js";
import * as tables from "../../src/batch/table.js";
import type * as itemQueue from "../../src/batch/item-queue.js";
import type * as registerStep from "../../src/register/register-step.js";
import * as registerValue from "../../src/register/register-value.js";
import * as errors from "../../src/runtime/errors.js";
import type * as schema from "../../src/wire/batch-schema.js";
import type * as registerSchema from "../../src/wire/register-schema.js";
import type * as types from "../../src/wire/types.js";
import * as invariants from "./invariants.js";
import * as networks from "../sim/network.js";
import * as simulatedClock from "../sim/simulated-clock.js";

/** What may be missing. */
export type Guard = "none" | "fence" | "proof" | "durable_answer";

const NODES = ["n1", "n2", "n3"];
const TURN_MS = 100;
const LONGEST_MS = 1500;
/** A node that is cut off notices it after so long; one that missed news asks for it so often. */
const CONFIRMED_MS = 1200;
const CATCH_UP_MS = 500;
const FAULTS_MS = 45_000;
const CALM_MS = 90_000;

/** What a history came to: null, or the invariant that was broken. */
export type Verdict = string | null;

export class BatchHistory {
  readonly clock: simulatedClock.SimulatedClock;
  readonly network: networks.SimNetwork;
  value: registerSchema.Value = registerValue.initialValue(["a:1"]);
  readonly records = new Map<string, Buffer>();
  readonly runs = new Map<string, number>();
  /** The newest value that each node knows to be chosen. */
  private readonly views = new Map<string, registerSchema.Value>();
  /** Since when a node is cut off. */
  private readonly cut = new Map<string, number>();
  private readonly invariants = new invariants.Invariants();
  private readonly owners = new Map<string, { owner: batchOwner.BatchOwner; life: string; isUp: boolean }>();
  private lives = 0;
  private isCalm = false;
  verdict: Verdict = null;

  constructor(
    seed: number,
    readonly guard: Guard,
  ) {
    this.clock = new simulatedClock.SimulatedClock(seed);
    this.network = new networks.SimNetwork(this.clock);
    this.submit("one", false);
    this.submit("two", true);
    for (const name of NODES) {
      this.views.set(name, this.value);
      this.start(name);
    }
  }

  private submit(key: string, isRepeatable: boolean): void {
    const plain = { route: key, count: 12, finishWithinMs: 0, homes: [], reservedBytes: 1, projected: null };
    const made = steps.submit(tables.tableOf(this.value), { ...plain, key, digest: key, isRepeatable });
    if (made.isOk) this.value = tables.withTable(this.value, made.value);
  }

  private chance(share: number): boolean {
    return !this.isCalm && this.clock.random() < share;
  }

  private wait(ms: number, clock: types.Clock = this.clock): Promise<void> {
    return new Promise((resolve) => clock.schedule(ms, resolve));
  }

  private start(name: string): void {
    this.lives += 1;
    const life = `${name}/${this.lives}`;
    const world = new networks.NodeWorld(this.network, name);
    const owner = new batchOwner.BatchOwner(this.needs(name, life, world));
    const entry = { owner, life, isUp: true };
    this.owners.set(name, entry);
    const turn = (): void => {
      if (!entry.isUp) return;
      owner.runPeriodically();
      world.schedule(TURN_MS, turn);
    };
    world.schedule(TURN_MS * this.clock.random(), turn);
  }

  private crash(name: string): void {
    this.owners.get(name)!.isUp = false;
    this.clock.schedule(500 + 3000 * this.clock.random(), () => this.start(name));
  }

  private needs(name: string, life: string, clock: types.Clock): batchOwner.Dependencies {
    const { views } = this;
    return {
      clock,
      incarnation: life,
      register: {
        get chosen() {
          return views.get(name) ?? null;
        },
        submitOrder: (step) => this.order(name, life, step, clock),
      },
      replicas: { put: (key, body) => this.put(name, key, body), find: (key) => this.find(name, key) },
      isConfirmed: () => !this.isCut(name) || this.clock.now() - this.cut.get(name)! < CONFIRMED_MS,
      isConnected: (other) =>
        [...this.owners].some(([node, entry]) => entry.isUp && entry.life === other && !this.isCut(node) && !this.isCut(name)),
      rank: () => NODES.indexOf(name),
      serviceOf: () => "s",
      capacitiesOf: () => [{ region: "r", slots: 10, used: 0, waiting: 0, prefillTokensPerMs: Infinity }],
      prefillTokensOf: () => 0,
      longestMs: () => LONGEST_MS,
      send: (send, batch) => this.run(name, send, batch, clock),
      onAttemptEnded: () => undefined,
    };
  }

  private isCut(name: string): boolean {
    return this.cut.has(name);
  }

  /** What is chosen reaches a node a moment later, or once it is in touch again. */
  private learn(name: string): void {
    const hear = (): void => {
      if (!this.isCut(name) && !this.network.frozen.has(name)) this.views.set(name, this.value);
      else this.clock.schedule(CATCH_UP_MS, hear);
    };
    this.clock.schedule(5 + 300 * this.clock.random(), hear);
  }

  /** One change of the register: it may be lost, or applied without a word of it. */
  private async order(name: string, life: string, step: registerStep.Step, clock: types.Clock): Promise<registerStep.Outcome> {
    await this.wait(5 + 60 * this.clock.random());
    const isLost = this.isCut(name) || this.chance(0.05);
    const outcome = isLost ? null : this.guard === "fence" ? this.unfenced(life, step) : step(this.value);
    if (outcome?.isOk) this.choose(outcome.value);
    await this.wait(5 + 60 * this.clock.random(), clock);
    if (outcome?.isOk && outcome.value.epoch > this.views.get(name)!.epoch) this.views.set(name, outcome.value);
    if (!outcome || this.chance(0.05)) return result.err(new errors.NoQuorumError("silence", ""));
    return outcome;
  }

  /** The fence taken out: whoever changes the table counts as its owner. */
  private unfenced(life: string, step: registerStep.Step): registerStep.Outcome {
    const table = tables.tableOf(this.value);
    const claimed = step(this.value);
    if (claimed.isOk) return claimed;
    for (let term = 1; term <= table.term; term += 1) {
      const outcome = step(tables.withTable(this.value, { ...table, owner: life, term }));
      if (outcome.isOk)
        return result.ok(tables.withTable(outcome.value, { ...tables.tableOf(outcome.value), owner: table.owner, term: table.term }));
    }
    return claimed;
  }

  private choose(value: registerSchema.Value): void {
    const before = tables.tableOf(this.value);
    this.value = value;
    let after = tables.tableOf(value);
    if (this.guard === "proof") {
      after = { ...after, batches: after.batches.map((batch) => ({ ...batch, isRepeatable: true })) };
      this.value = tables.withTable(value, after);
    }
    const broken = this.invariants.broken(before, after, this.records);
    if (broken) this.fail(broken);
    for (const name of NODES) this.learn(name);
  }

  private fail(verdict: string): void {
    this.verdict ??= verdict;
  }

  private async put(name: string, key: schema.RecordKey, body: Buffer): Promise<boolean> {
    await this.wait(5 + 40 * this.clock.random());
    const isRefused = this.isCut(name) || this.chance(0.2);
    if (!isRefused) this.records.set(`${key.digest}/${key.item}/${key.attempt}`, body);
    return !isRefused || this.guard === "durable_answer";
  }

  private async find(name: string, key: schema.RecordKey): Promise<replicas.LookupResult> {
    await this.wait(5 + 40 * this.clock.random());
    if (this.isCut(name) || this.chance(0.2)) return { kind: "unknown" };
    const body = this.records.get(`${key.digest}/${key.item}/${key.attempt}`);
    return body ? { kind: "found", body } : { kind: "absent" };
  }

  /** A runner: full, answering, or breaking off with or without having run. */
  private async run(
    name: string,
    send: itemQueue.PlannedSend,
    batch: schema.Batch,
    clock: types.Clock,
  ): Promise<batchAttempt.AttemptAnswer> {
    const luck = this.isCalm ? 1 : this.clock.random();
    if (luck < 0.15) return { kind: "not_run", retryAfterMs: 200 };
    if (luck > 0.25) this.ran(batch, send.index);
    await this.wait(LONGEST_MS * 0.8 * this.clock.random(), clock);
    if (luck < 0.4 || !this.owners.get(name)!.isUp) return { kind: "may_have_run" };
    return { kind: "answered", answer: { status: 200, contentType: "", seal: "s", body: Buffer.from("x") } };
  }

  private ran(batch: schema.Batch, index: number): void {
    const key = `${batch.key}/${index}`;
    this.runs.set(key, (this.runs.get(key) ?? 0) + 1);
    if (batch.key === "one" && this.runs.get(key)! > 1) this.fail(`${key}: ran twice`);
  }

  private fault(): void {
    const name = NODES[Math.floor(this.clock.random() * NODES.length)];
    const forMs = 500 + 7000 * this.clock.random();
    const kind = Math.floor(this.clock.random() * 3);
    if (kind === 0 && this.owners.get(name)!.isUp) this.crash(name);
    if (kind === 1) this.cut.set(name, this.clock.now());
    if (kind === 2) this.network.frozen.add(name);
    this.clock.schedule(forMs, () => (kind === 1 ? this.cut.delete(name) : this.network.frozen.delete(name)));
  }

  /** Plays faults for a while, then calm until everything must have ended. */
  async play(): Promise<Verdict> {
    const again = (): void => {
      if (this.isCalm) return;
      this.fault();
      this.clock.schedule(1500 + 3000 * this.clock.random(), again);
    };
    this.clock.schedule(1000, again);
    await this.clock.play(FAULTS_MS);
    this.isCalm = true;
    await this.clock.play(CALM_MS);
    return this.verdict ?? this.unfinished();
  }

  private unfinished(): Verdict {
    for (const batch of tables.tableOf(this.value).batches) {
      if (tables.isOpen(batch)) return `batch ${batch.key} has not ended`;
      const counts = items.tally(batch.items);
      if (batch.isRepeatable && this.guard === "none" && (counts.get("unclear") ?? 0) > 0)
        return "an item that may run again was given up as unclear";
    }
    return null;
  }
}
