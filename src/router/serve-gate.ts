/**
 * Whether a router may serve with the configuration that it has (design/hardening/1-cut-off). A router that starts waits
 * for a confirmed control node, or a moment where none is reached; a running one keeps its configuration, for as long as
 * the settings allow without a confirmed control node.
 */
import type * as types from "../wire/types.js";
import * as log from "../runtime/log.js";
import * as controlNode from "../feed/control-node.js";

/** After so long with an unconfirmed configuration the router serves: its region may be partitioned. */
export const UNCONFIRMED_WAIT_MS = 1200;

/** The gate as `status` shows it. */
export interface GateStatus {
  isOpen: boolean;
  /** How long ago a confirmed control node knew nothing newer, in ms; null: never in this process. */
  confirmedMsAgo: number | null;
  /** Whether this router stopped serving because that was too long ago. */
  isExpired: boolean;
}

/** One for each process. */
export class ServeGate {
  private configuredSince: types.SteadyMs | null = null;
  private confirmedAt: types.SteadyMs | null = null;
  private isOpen = false;
  private isExpired = false;

  /**
   * `unconfirmedMs`: for how long the router serves without a confirmed control node; 0: without a limit.
   * `onOpen`: called whenever it begins to allow requests.
   */
  constructor(
    private readonly clock: types.Clock,
    private readonly controls: ReadonlyMap<string, controlNode.ControlNode>,
    private readonly unconfirmedMs: number,
    private readonly onOpen: () => void,
  ) {}

  /** Decided by the clock at each call, so that a process that was suspended stops in time. */
  allows(): boolean {
    return this.isOpen && !this.isTooOld();
  }

  private isTooOld(): boolean {
    const since = this.confirmedAt ?? this.configuredSince;
    return this.unconfirmedMs > 0 && since !== null && this.clock.now() - since >= this.unconfirmedMs;
  }

  /**
   * Called periodically, and whenever the configuration or a control node may have changed. `epoch`: of the router's
   * configuration; `hasAll`: whether it has all else that it needs.
   */
  update(epoch: types.Epoch, hasAll: boolean): void {
    if (epoch < 0) return;
    this.configuredSince ??= this.clock.now();
    const isConfirmed = this.isConfirmed(epoch);
    if (isConfirmed) this.confirmedAt = this.clock.now();
    if (this.isOpen) this.updateExpiry();
    else if (hasAll) this.openIfConfirmed(epoch, isConfirmed);
  }

  private openIfConfirmed(epoch: types.Epoch, isConfirmed: boolean): void {
    const isLate = this.clock.now() - this.configuredSince! >= UNCONFIRMED_WAIT_MS;
    if (!isConfirmed && !isLate) return;
    this.isOpen = true;
    if (!isConfirmed) {
      log.count("config.unconfirmed");
      log.state(`config: no confirmed control node is reached; epoch ${epoch} serves unconfirmed`);
    }
    this.onOpen();
  }

  private updateExpiry(): void {
    const isExpired = this.isTooOld();
    if (isExpired === this.isExpired) return;
    this.isExpired = isExpired;
    log.count(isExpired ? "config.expired" : "config.confirmed_again");
    log.state(
      isExpired
        ? `config: no confirmed control node for ${this.unconfirmedMs / 1000} s; nothing is served until one is reached (unconfirmed_serve_s)`
        : "config: confirmed again, requests are served",
    );
    if (!isExpired) this.onOpen();
  }

  status(): GateStatus {
    const { confirmedAt, isOpen } = this;
    const confirmedMsAgo = confirmedAt === null ? null : Math.round(this.clock.now() - confirmedAt);
    return { isOpen, confirmedMsAgo, isExpired: isOpen && this.isTooOld() };
  }

  /** Whether a confirmed control node knows nothing newer. */
  private isConfirmed(epoch: types.Epoch): boolean {
    for (const control of this.controls.values()) {
      if (control.link.isOpen && this.isConfirmedBy(control, epoch)) return true;
    }
    return false;
  }

  private isConfirmedBy(control: controlNode.ControlNode, epoch: types.Epoch): boolean {
    const known = control.heartbeat?.epoch ?? control.node.epoch;
    return controlNode.isFresh(control, this.clock.now()) && controlNode.isConfirmed(control) && known <= epoch;
  }
}
