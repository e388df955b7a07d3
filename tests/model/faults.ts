// Faults of machines and links: each begins, and ends after its time.
import type * as losses from "./losses.js";
import type * as networks from "./network.js";
import type * as nodes from "./node.js";
import type * as commands from "./commands.js";
import * as targets from "./targets.js";

/** From the stop of a machine that leaves until its process ends. */
const GRACE_MS = 1500;
const RESTART_MS = 50;

export class Faults {
  constructor(
    private readonly network: networks.Network,
    private readonly losses: losses.Losses,
    /** Starts a blank machine at a new address. */
    private readonly join: () => void,
  ) {}

  begin(command: commands.Fault): void {
    if (command.kind === "split") return this.split(command.side, command.ms);
    const node = this.network.node(command.node);
    switch (command.kind) {
      case "crash":
        return this.restart(node, command.ms);
      case "freeze":
        if (!node.isUp || node.isFrozen) return;
        node.isFrozen = true;
        return this.endLater(node, command.ms, node.thaw.bind(node));
      case "isolate":
        for (const other of this.network.nodes.values()) if (other !== node) this.cut(node, other, command.way);
        return this.endLater(node, command.ms, this.network.heal.bind(this.network));
      case "cut":
        this.cut(node, this.network.node(command.other), "both");
        this.endLater(this.network.node(command.other), command.ms, nothing);
        return this.endLater(node, command.ms, this.network.heal.bind(this.network));
      case "disk":
        node.disk.trouble = command.trouble;
        return this.endLater(node, command.ms, this.endDisk.bind(this, node, command.isCrashed));
      case "replace":
        return command.isPlanned ? this.leave(node) : this.replace(node);
    }
  }

  private endDisk(node: nodes.ModelNode, isCrashed: boolean): void {
    node.disk.trouble = "none";
    if (isCrashed) this.restart(node, RESTART_MS);
  }

  private split(side: number, ms: number): void {
    const all = [...this.network.nodes.values()];
    for (const [one, node] of all.entries()) {
      for (const [two, other] of all.entries()) if (((side >> one) & 1) !== ((side >> two) & 1)) this.cut(node, other, "out");
      this.endLater(node, ms, this.network.heal.bind(this.network));
    }
  }

  private mayLose(node: nodes.ModelNode): boolean {
    return this.losses.mayLose(node.address, this.network.clock.now());
  }

  private cut(node: nodes.ModelNode, other: nodes.ModelNode, way: "in" | "out" | "both"): void {
    if (way !== "in") this.network.cut(node.address, other.address);
    if (way !== "out") this.network.cut(other.address, node.address);
  }

  private endLater(node: nodes.ModelNode, ms: number, end: () => void): void {
    const { losses } = this;
    const { clock } = this.network;
    losses.begin(node.address);
    clock.schedule(ms, function ended() {
      end();
      losses.end(node.address, clock.now());
    });
  }

  private restart(node: nodes.ModelNode, ms: number): void {
    if (!node.isUp) return;
    node.crash();
    this.endLater(node, ms, function again() {
      void node.start(false);
    });
  }

  /** The disk of one machine is lost, if that may be; perhaps the power of all others as well. */
  wipe(command: Extract<commands.Command, { kind: "wipe" }>): void {
    const node = targets.find([...this.network.nodes.values()], command);
    if (!node.isUp || !this.mayLose(node)) return;
    node.wipe();
    this.endLater(node, command.ms, function again() {
      void node.start(false);
    });
    if (command.isPowerLost) this.losePower(command);
  }

  /** All processes end; one machine takes longer than the others to come back. */
  losePower(command: { slow: number; ms: number }): void {
    const slow = this.network.node(command.slow);
    for (const node of this.network.nodes.values()) this.restart(node, node === slow ? command.ms : RESTART_MS);
  }

  /** The machine hands over what it holds, then goes. */
  private leave(node: nodes.ModelNode): void {
    if (!node.isUp || !this.mayLose(node)) return;
    this.losses.begin(node.address);
    void node.handOver(GRACE_MS);
    this.network.clock.schedule(GRACE_MS, this.remove.bind(this, node));
  }

  /** The machine goes for good and a blank one comes at a new address. */
  private replace(node: nodes.ModelNode): void {
    if (!node.isUp || !this.mayLose(node)) return;
    this.losses.begin(node.address);
    this.remove(node);
  }

  private remove(node: nodes.ModelNode): void {
    node.crash();
    this.network.nodes.delete(node.address);
    this.losses.end(node.address, this.network.clock.now() + 1000);
    this.network.clock.schedule(1000 * this.network.clock.random(), this.join);
  }
}

function nothing(): void {}
