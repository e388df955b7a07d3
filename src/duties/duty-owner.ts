/**
 * The duties at the platform at one control node (design/duties): claims and renews the lease, has reports and orders decided in
 * the register with each renewal, and sends them while the lease allows.
 */
import type * as registerStep from "../register/register-step.js";
import * as log from "../runtime/log.js";
import type * as dutySchema from "../wire/duty-schema.js";
import type * as registerSchema from "../wire/register-schema.js";
import type * as types from "../wire/types.js";
import * as dutyLease from "./duty-lease.js";
import * as dutyTable from "./duty-table.js";
import * as platformDuties from "./platform-duties.js";

/** No round of a claim or renewal begins later than this after its start. */
const CHANGE_TIMEOUT_MS = 1200;
const INITIAL_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 2500;
const BACKOFF_FACTOR = 1.6;
/** A claim that fails is repeated after this at the earliest. */
const CLAIM_RETRY_MS = 300;

/** The register as the owner uses it. */
export interface DutyRegister {
  readonly chosen: registerSchema.Value | null;
  change(step: registerStep.Step, timeoutMs: number): Promise<registerStep.Outcome>;
}

/** What the owner needs of its node. */
export interface OwnerDependencies {
  clock: types.Clock;
  register: DutyRegister;
  platform: Pick<platformDuties.PlatformDuties, "reportUsage" | "orderRunners">;
  self: dutyTable.Claimant;
  leaseMs: number;
  /** Its rank among the nodes that may hold the lease, 0 is the first; null: it may not. */
  rank(): number | null;
  /** Reports that are due now and not decided. */
  dueReports(table: dutySchema.DutyTable): dutySchema.DecidedReport[];
  /** Whether there is anything for a holder to do; else the lease runs out. */
  isNeeded(table: dutySchema.DutyTable): boolean;
  /** Services whose roll-outs are to be reverted. */
  dueReverts(table: dutySchema.DutyTable): ReadonlySet<string>;
  /** Orders that replace those of the table. */
  newOrders(table: dutySchema.DutyTable): dutySchema.RunnerOrder[];
}

/** Run by the control node's timer. */
export class DutyOwner {
  private readonly lease: dutyLease.DutyLease;
  private isChanging = false;
  private nextChangeAt = Number.NEGATIVE_INFINITY;
  /** The call under way. */
  private call: Promise<void> | null = null;
  private nextCallAt = Number.NEGATIVE_INFINITY;
  private backoffMs = INITIAL_BACKOFF_MS;
  private readonly acceptedWindows = new Set<number>();
  /** Orders that the platform has accepted from this holder, by subject. */
  private readonly acceptedOrders = new Map<string, number>();

  constructor(private readonly dependencies: OwnerDependencies) {
    const { clock, leaseMs } = dependencies;
    this.lease = new dutyLease.DutyLease(clock, leaseMs);
  }

  /** Whether this node holds the lease and may act now. */
  get isHolder(): boolean {
    return this.lease.remainingMs() > 0;
  }

  /** The table observed last; null before the first. */
  get table(): dutySchema.DutyTable | null {
    return this.lease.observed;
  }

  /** Claims, renews and calls, each when it is due. */
  runPeriodically(): void {
    const { chosen } = this.dependencies.register;
    if (!chosen) return;
    this.observe(chosen);
    if (!this.isChanging && this.dependencies.clock.now() >= this.nextChangeAt) this.changeWhenDue();
    this.callWhenDue();
  }

  private observe(chosen: registerSchema.Value): void {
    const table = dutyTable.tableOf(chosen);
    this.lease.observe(table);
    const open = new Set(table.reports.map(({ window }) => window));
    for (const window of this.acceptedWindows) if (!open.has(window)) this.acceptedWindows.delete(window);
  }

  private changeWhenDue(): void {
    const rank = this.dependencies.rank();
    const table = this.lease.observed;
    if (rank === null || !table || !this.dependencies.isNeeded(table)) return;
    if (this.lease.fence !== null) void this.renew(this.lease.fence);
    else if (this.lease.mayClaim(rank)) void this.claim();
  }

  private async claim(): Promise<void> {
    const { clock, self } = this.dependencies;
    const startedAt = clock.now();
    this.acceptedOrders.clear();
    const outcome = await this.change(dutyTable.claimStep(this.lease.observed!, self));
    this.nextChangeAt = clock.now() + (outcome.isOk ? 0 : CLAIM_RETRY_MS);
    if (outcome.isErr) return;
    const { fence } = dutyTable.tableOf(outcome.value);
    this.observe(outcome.value);
    this.lease.recordSuccess(fence, startedAt);
    log.count("duties.claimed");
    log.state(`duties: this node holds them under fence ${fence}`);
  }

  private async renew(fence: number): Promise<void> {
    const { dependencies } = this;
    const { clock, self } = dependencies;
    const startedAt = clock.now();
    this.nextChangeAt = startedAt + this.lease.renewalIntervalMs;
    const table = this.lease.observed!;
    const changes = {
      decided: dependencies.dueReports(table),
      accepted: new Set(this.acceptedWindows),
      orders: dependencies.newOrders(table),
      reverted: dependencies.dueReverts(table),
    };
    const outcome = await this.change(dutyTable.renewStep(fence, self.life, changes));
    if (outcome.isOk) {
      this.lease.recordSuccess(fence, startedAt);
      this.observe(outcome.value);
      return;
    }
    log.count("duties.renewal_failed");
    this.nextChangeAt = Math.min(this.nextChangeAt, clock.now() + CLAIM_RETRY_MS);
    if (outcome.error.code === "not_ready") this.release("another node holds the lease");
  }

  private async change(step: registerStep.Step): Promise<registerStep.Outcome> {
    this.isChanging = true;
    const outcome = await this.dependencies.register.change(step, CHANGE_TIMEOUT_MS);
    this.isChanging = false;
    return outcome;
  }

  private release(cause: string): void {
    if (this.lease.fence === null) return;
    log.state(`duties: fence ${this.lease.fence} is given up: ${cause}`);
    this.lease.release();
  }

  private callWhenDue(): void {
    const { clock } = this.dependencies;
    if (this.call || clock.now() < this.nextCallAt || this.lease.remainingMs() < platformDuties.CALL_TIMEOUT_MS) return;
    const table = this.lease.observed!;
    const report = table.reports.find(({ window }) => !this.acceptedWindows.has(window));
    const order = table.orders.find((item) => this.acceptedOrders.get(dutyTable.subjectOf(item)) !== item.desired);
    if (report) this.call = this.sendReport(report);
    else if (order) this.call = this.sendOrder(order);
  }

  private async sendReport(report: dutySchema.DecidedReport): Promise<void> {
    const outcome = await this.dependencies.platform.reportUsage(this.holder(), report);
    if (this.isSettled(outcome, `usage of window ${report.window}`)) this.acceptedWindows.add(report.window);
    this.finishCall(outcome);
  }

  private async sendOrder(order: dutySchema.RunnerOrder): Promise<void> {
    const outcome = await this.dependencies.platform.orderRunners(this.holder(), order);
    const isSettled = this.isSettled(outcome, `order of ${order.service} in ${order.zone}`);
    if (isSettled) this.acceptedOrders.set(dutyTable.subjectOf(order), order.desired);
    this.finishCall(outcome);
  }

  /** Whether a call with this outcome is not sent again. */
  private isSettled(outcome: platformDuties.DutyOutcome, subject: string): boolean {
    if (outcome === "invalid") log.state(`duties: the platform finds the ${subject} invalid`);
    return outcome === "accepted" || outcome === "invalid";
  }

  private holder(): platformDuties.DutyHolder {
    return { name: this.dependencies.self.name, fence: this.lease.fence! };
  }

  private finishCall(outcome: platformDuties.DutyOutcome): void {
    const { clock } = this.dependencies;
    this.call = null;
    if (outcome === "unknown") {
      this.nextCallAt = clock.now() + this.backoffMs;
      this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * BACKOFF_FACTOR);
      return;
    }
    this.backoffMs = INITIAL_BACKOFF_MS;
    if (outcome === "fenced") this.release("the platform has seen a higher one");
  }

  /** Resolves once no call is under way. */
  async finishInFlight(): Promise<void> {
    await this.call;
  }

  /** For `status`. */
  status(): unknown {
    const table = this.lease.observed;
    return {
      ...(this.lease.status() as object),
      decidedThrough: table?.decidedThrough ?? dutyTable.NO_WINDOW,
      openReports: table?.reports.map(({ window }) => window) ?? [],
      orders: table?.orders ?? [],
    };
  }
}
