/**
 * A random history of the duties at the platform, of one seed: nodes crash, freeze and are cut off from the register, from the
 * platform or from both, while the platform checks what arrives.
 */
import * as result from "true-myth/result";
import * as dutyLease from "../../src/duties/duty-lease.js";
import * as dutyOwner from "../../src/duties/duty-owner.js";
import * as dutyTable from "../../src/duties/duty-table.js";
import * as platformDuties from "../../src/duties/platform-duties.js";
import * as registerStep from "../../src/register/register-step.js";
import * as registerValue from "../../src/register/register-value.js";
import type * as dutySchema from "../../src/wire/duty-schema.js";
import type * as schema from "../../src/wire/schema.js";
import * as simulatedClock from "../sim/simulated-clock.js";

/** What is left out, to see that the checks find it. */
export type Guard = "none" | "margin" | "wait" | "durable";

const LEASE_MS = 3000;
const WINDOW_MS = 5000;
const TURN_MS = 100;
const FAULTS_MS = 60_000;
const QUIET_MS = 20_000;
const REGISTER_DELAY_MS = 120;
const PLATFORM_DELAY_MS = 150;
/** A report that is due is sent within this once all is well. */
const SETTLED_MS = 12_000;

/** A reply of the platform is lost this often while faults last. */
const LOST_REPLIES = 0.3;

interface Arrival {
  at: number;
  node: string;
  fence: number;
}

/** Calls on one subject, with what is wrong with them. */
class Subject {
  private readonly holderOfFence = new Map<number, string>();
  private readonly arrivals: Arrival[] = [];

  constructor(private readonly fail: (cause: string) => void) {}

  receive(arrival: Arrival): void {
    const { at, node, fence } = arrival;
    if ((this.holderOfFence.get(fence) ?? node) !== node) this.fail(`fence ${fence} is used by two nodes`);
    this.holderOfFence.set(fence, node);
    const highest = Math.max(0, ...this.holderOfFence.keys());
    if (fence < highest) this.fail(`fence ${fence} after ${highest}`);
    const earlier = this.arrivals.filter((other) => at - other.at < LEASE_MS);
    const own = earlier.findIndex((other) => other.node === node);
    if (own >= 0 && earlier.slice(own).some((other) => other.node !== node)) this.fail(`${node} acts again after another`);
    this.arrivals.push(arrival);
  }
}

/** The platform: records calls and what is wrong with them. */
class Platform {
  readonly faults: string[] = [];
  readonly accepted = new Map<number, string>();
  private readonly usage = new Subject((cause) => this.fail(cause));
  private readonly scaling = new Subject((cause) => this.fail(cause));

  private fail(cause: string): void {
    this.faults.push(cause);
  }

  receiveReport(arrival: Arrival, report: dutySchema.DecidedReport): void {
    this.usage.receive(arrival);
    const known = this.accepted.get(report.window);
    if (known !== undefined && known !== report.counts) this.fail(`window ${report.window} has other counts`);
    this.accepted.set(report.window, report.counts);
  }

  receiveOrder(arrival: Arrival): void {
    this.scaling.receive(arrival);
  }
}

/** One value for all nodes; changes of a node that is cut off fail, or are applied without its learning of it. */
class SharedRegister {
  value: schema.Value = registerValue.initialValue(["a"]);

  constructor(private readonly history: DutyHistory) {}

  async change(node: Node, step: registerStep.Step, timeoutMs: number): Promise<registerStep.Outcome> {
    const { clock } = this.history;
    await node.sleep(clock.random() * REGISTER_DELAY_MS);
    if (node.isCutOff) return this.fail(node, timeoutMs);
    const outcome = step(this.value);
    if (outcome.isOk) this.choose(outcome.value);
    await node.sleep(clock.random() * REGISTER_DELAY_MS);
    if (node.isCutOff) return this.fail(node, timeoutMs);
    if (outcome.isOk) node.learn(outcome.value);
    return outcome;
  }

  private async fail(node: Node, timeoutMs: number): Promise<registerStep.Outcome> {
    await node.sleep(timeoutMs);
    return registerStep.noMajority();
  }

  private choose(value: schema.Value): void {
    this.value = value;
    for (const node of this.history.nodes) {
      this.history.clock.schedule(this.history.clock.random() * 2 * REGISTER_DELAY_MS, () => {
        if (!node.isCutOff) node.learn(value);
      });
    }
  }
}

/** The register as one incarnation of a node sees it; one that crashed sees nothing more. */
class RegisterOf implements dutyOwner.DutyRegister {
  constructor(
    private readonly node: Node,
    private readonly register: SharedRegister,
    private readonly isCurrent: () => boolean,
  ) {}

  get chosen(): schema.Value | null {
    return this.isCurrent() ? this.node.chosen : null;
  }

  change(step: registerStep.Step, timeoutMs: number): Promise<registerStep.Outcome> {
    return this.register.change(this.node, step, timeoutMs);
  }
}

/** One control node; each incarnation has an owner of its own. */
class Node {
  chosen: schema.Value | null = null;
  isCutOff = false;
  isUnreachable = false;
  private frozenUntil = 0;
  private downUntil = 0;
  private incarnation = 0;
  private owner: dutyOwner.DutyOwner | null = null;

  constructor(
    private readonly history: DutyHistory,
    private readonly register: SharedRegister,
    readonly name: string,
    private readonly rank: number,
  ) {}

  learn(value: schema.Value): void {
    if (!this.chosen || value.epoch > this.chosen.epoch) this.chosen = value;
  }

  /** A frozen process goes on when it is thawed. */
  async sleep(ms: number): Promise<void> {
    await new Promise<void>((resolve) => void this.history.clock.schedule(ms, resolve));
    const frozenMs = this.frozenUntil - this.history.clock.now();
    if (frozenMs > 0) await this.sleep(frozenMs);
  }

  freeze(ms: number): void {
    this.frozenUntil = this.history.clock.now() + ms;
  }

  crash(downMs: number): void {
    this.owner = null;
    this.chosen = null;
    this.downUntil = this.history.clock.now() + downMs;
  }

  turn(): void {
    const now = this.history.clock.now();
    if (now < this.frozenUntil || now < this.downUntil) return;
    if (!this.isCutOff) this.learn(this.register.value);
    this.owner ??= this.start();
    this.owner.runPeriodically();
  }

  private start(): dutyOwner.DutyOwner {
    this.incarnation += 1;
    const life = `${this.name}/${this.incarnation}`;
    const { clock } = this.history;
    const isCurrent = (): boolean => life === `${this.name}/${this.incarnation}` && this.owner !== null;
    return new dutyOwner.DutyOwner({
      clock,
      register: new RegisterOf(this, this.register, isCurrent),
      platform: {
        reportUsage: (holder, report) =>
          isCurrent() ? this.send(holder, (arrival) => this.history.platform.receiveReport(arrival, report)) : Promise.resolve("unknown"),
        orderRunners: (holder) =>
          isCurrent() ? this.send(holder, (arrival) => this.history.platform.receiveOrder(arrival)) : Promise.resolve("unknown"),
      },
      self: { name: this.name, life },
      leaseMs: LEASE_MS,
      rank: () => this.rank,
      dueReports: (table) => this.dueReports(table),
      isNeeded: () => true,
      dueReverts: () => new Set(),
      newOrders: ({ renewal }) => [{ service: "s", zone: "z", desired: renewal }],
    });
  }

  /** Each node counts otherwise: two decisions on one window would differ. */
  private dueReports(table: dutySchema.DutyTable): dutySchema.DecidedReport[] {
    const current = Math.floor(this.history.clock.now() / WINDOW_MS);
    const reports: dutySchema.DecidedReport[] = [];
    for (let window = table.decidedThrough + 1; window < current; window += 1) reports.push({ window, counts: `${this.name} ${window}` });
    return reports;
  }

  /** Bytes that were sent go on while their sender is frozen. */
  private async send(holder: platformDuties.DutyHolder, receive: (arrival: Arrival) => void): Promise<platformDuties.DutyOutcome> {
    const { clock } = this.history;
    const sentAt = clock.now();
    const isLost = this.isUnreachable;
    const isReplyLost = this.history.hasFaults && clock.random() < LOST_REPLIES;
    const isAnswered = await new Promise<boolean>((resolve) => {
      clock.schedule(clock.random() * PLATFORM_DELAY_MS, () => {
        if (!isLost) receive({ at: clock.now(), node: holder.name, fence: holder.fence });
        resolve(!isLost && !isReplyLost && !this.isUnreachable);
      });
    });
    if (isAnswered) await this.sleep(clock.random() * PLATFORM_DELAY_MS);
    else await this.sleep(Math.max(0, platformDuties.CALL_TIMEOUT_MS - (clock.now() - sentAt)));
    return isAnswered ? "accepted" : "unknown";
  }
}

/** One history; `play` tells what was wrong. */
export class DutyHistory {
  readonly clock: simulatedClock.SimulatedClock;
  readonly platform = new Platform();
  readonly nodes: Node[] = [];
  hasFaults = true;
  private readonly register: SharedRegister;

  constructor(
    seed: number,
    private readonly missing: Guard,
  ) {
    this.clock = new simulatedClock.SimulatedClock(seed * 7919 + 1);
    this.register = new SharedRegister(this);
    const count = 3 + (seed % 3);
    for (let index = 0; index < count; index += 1) this.nodes.push(new Node(this, this.register, `node-${index}`, index));
  }

  async play(): Promise<string | null> {
    const restore = withoutGuard(this.missing);
    try {
      await this.playFaults();
      this.hasFaults = false;
      for (const node of this.nodes) node.isCutOff = node.isUnreachable = false;
      await this.run(QUIET_MS);
    } finally {
      restore();
    }
    return this.platform.faults[0] ?? this.missingReport();
  }

  private async playFaults(): Promise<void> {
    while (this.clock.now() < FAULTS_MS) {
      await this.run(200 + this.clock.random() * 3000);
      this.breakSomething();
    }
  }

  private breakSomething(): void {
    const { clock } = this;
    const node = this.nodes[Math.floor(clock.random() * this.nodes.length)];
    const lastsMs = 300 + clock.random() * 6000;
    const kind = Math.floor(clock.random() * 6);
    if (kind === 0) node.crash(lastsMs / 3);
    else if (kind === 1) node.freeze(lastsMs);
    else if (kind === 2) this.crashAll();
    else {
      node.isCutOff = kind !== 3;
      node.isUnreachable = kind !== 4;
      clock.schedule(lastsMs, () => (node.isCutOff = node.isUnreachable = false));
    }
  }

  private crashAll(): void {
    for (const node of this.nodes) node.crash(200 + this.clock.random() * 1000);
    if (this.missing === "durable") this.register.value = registerValue.initialValue(["a"]);
  }

  private async run(ms: number): Promise<void> {
    for (let at = 0; at < ms; at += TURN_MS) {
      await this.clock.play(TURN_MS);
      for (const node of this.nodes) node.turn();
    }
  }

  private missingReport(): string | null {
    const last = Math.floor((this.clock.now() - SETTLED_MS) / WINDOW_MS);
    for (let window = 0; window < last; window += 1) if (!this.platform.accepted.has(window)) return `window ${window} was not reported`;
    return null;
  }
}

function withoutGuard(missing: Guard): () => void {
  const { prototype } = dutyLease.DutyLease;
  const { remainingMs, mayClaim } = prototype;
  if (missing === "margin")
    prototype.remainingMs = function late(this: dutyLease.DutyLease): number {
      return remainingMs.call(this) + LEASE_MS;
    };
  if (missing === "wait")
    prototype.mayClaim = function early(this: dutyLease.DutyLease): boolean {
      return this.fence === null;
    };
  return () => {
    prototype.remainingMs = remainingMs;
    prototype.mayClaim = mayClaim;
  };
}

/** The table that a chain of steps leaves, or the error of the first that is rejected. */
export function tableAfter(...steps: registerStep.Step[]): dutySchema.DutyTable | string {
  const first: registerStep.Outcome = result.ok(registerValue.initialValue(["a"]));
  const outcome = steps.reduce((value, step) => value.andThen(step), first);
  return outcome.isOk ? dutyTable.tableOf(outcome.value) : outcome.error.code;
}

/** For steps in tests. */
export const CLAIMANT: dutyTable.Claimant = { name: "a", life: "a/1" };
