// A router that starts serves its first configuration only when a confirmed control node stands behind it
// (design/hardening/1-cut-off). Once open, the gate stays open: a running router keeps the last known good.
import type * as types from "../wire/types.js";
import * as log from "../startup/log.js";
import * as dialers from "../feed/dialer.js";

/** After so long with a configuration that nobody confirmed, it serves: its region may be cut off (*ours*). */
export const UNCONFIRMED_WAIT_MS = 1200;

/** One for each life of a router. */
export class StartGate {
  private heldSince: types.SteadyMs | null = null;
  /** Whether this router may serve: it holds all that it needs, and waits for nobody's word any more. */
  isOpen = false;

  /** onOpen: called once. */
  constructor(
    private readonly world: types.World,
    private readonly controls: ReadonlyMap<string, dialers.Control>,
    private readonly onOpen: () => void,
  ) {}

  allows(): boolean {
    return this.isOpen;
  }

  /**
   * Called whenever what is held, or a control node's word, may have changed. epoch: of the configuration that this
   * router holds; hasAll: whether it has all else that it needs.
   */
  judge(epoch: types.Epoch, hasAll: boolean): void {
    if (this.isOpen || epoch < 0) return;
    this.heldSince ??= this.world.now();
    if (!hasAll) return;
    const isConfirmed = this.isConfirmed(epoch);
    const isLate = this.world.now() - this.heldSince >= UNCONFIRMED_WAIT_MS;
    if (!isConfirmed && !isLate) return;
    this.isOpen = true;
    if (!isConfirmed) {
      log.count("config.unconfirmed");
      log.state(`config: no confirmed control node is reached; epoch ${epoch} serves unconfirmed`);
    }
    this.onOpen();
  }

  /** Whether a confirmed control node knows nothing newer. */
  private isConfirmed(epoch: types.Epoch): boolean {
    for (const control of this.controls.values()) {
      if (control.link.isOpen && this.isConfirmedBy(control, epoch)) return true;
    }
    return false;
  }

  private isConfirmedBy(control: dialers.Control, epoch: types.Epoch): boolean {
    const known = control.beat?.epoch ?? control.node.epoch;
    return dialers.isFresh(control, this.world.now()) && dialers.isConfirmed(control) && known <= epoch;
  }
}
