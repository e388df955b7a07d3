// A register of voters and proposers over a simulated network and disks, with faults by seed.
import * as proposer from "../../src/register/proposer.js";
import type * as acceptorClient from "../../src/register/acceptor-client.js";
import * as registerValue from "../../src/register/register-value.js";
import * as acceptor from "../../src/register/acceptor.js";
import * as schema from "../../src/wire/schema.js";
import * as simulatedClock from "./simulated-clock.js";

/** A guard that a test may break on purpose, to see the checker fail. */
export type Broken = "none" | "forget_promise" | "wipe_keeps_identity" | "any_quorum";

export class SimNode {
  voter: acceptor.Acceptor | null = null;
  stored: Buffer | null = null;
  isUp = true;
  isFrozen = false;
  isDiskHung = false;
  wipes = 0;
  readonly chosen: schema.Value[] = [];
  /** Called with each value that this node's proposer has chosen. */
  onChosen: ((value: schema.Value) => void) | null = null;
  proposer: proposer.Proposer;

  constructor(
    private readonly core: SimRegister,
    readonly address: string,
    first: schema.Value,
  ) {
    this.proposer = this.makeProposer(first);
  }

  makeProposer(first: schema.Value): proposer.Proposer {
    const recordChosen = (value: schema.Value): void => {
      this.chosen.push(value);
      this.onChosen?.(value);
    };
    this.core.incarnations += 1;
    return new proposer.Proposer(this.core.clock, `life-${this.core.incarnations}`, this.core.reach(this), first, recordChosen);
  }

  boot(first: schema.Disk | null): void {
    const state = this.stored ? acceptor.Acceptor.restore(this.stored) : first;
    if (!state) return;
    if (!this.stored) this.stored = schema.disk.toBuffer(state);
    this.voter = new acceptor.Acceptor({ write: (body) => this.write(body) }, state);
  }

  private async write(body: Buffer): Promise<void> {
    while (this.isDiskHung) await this.core.wait(50);
    await this.core.wait((2 + this.core.clock.random() * 5) * this.core.diskFactor);
    if (this.core.broken === "forget_promise") {
      const kept = acceptor.Acceptor.restore(body);
      this.stored = schema.disk.toBuffer({ ...kept, promised: registerValue.NO_BALLOT });
    } else this.stored = body;
  }

  /** The process ends and starts again with what was synced. */
  restart(): void {
    this.voter = null;
    this.proposer = this.makeProposer(this.known());
    this.boot(null);
  }

  /** The disk comes back empty: a new identity, and nothing but what others send. */
  wipe(): void {
    this.stored = null;
    this.wipes += 1;
    const known = this.known();
    this.voter = null;
    const disk =
      this.core.broken === "wipe_keeps_identity" ? registerValue.initialDisk(this.address) : `disk-${this.address}-${this.wipes}`;
    this.proposer = this.makeProposer(known);
    this.boot({ disk, promised: registerValue.NO_BALLOT, accepted: null });
  }

  private known(): schema.Value {
    const newest = this.core.newestChosen();
    return newest ?? this.core.first;
  }
}

export class SimRegister {
  incarnations = 0;
  readonly nodes = new Map<string, SimNode>();
  readonly cuts = new Set<string>();
  lossShare = 0;
  /** Factor by which the disks are slowed down. */
  diskFactor = 1;
  readonly first: schema.Value;

  constructor(
    readonly clock: simulatedClock.SimulatedClock,
    addresses: string[],
    readonly broken: Broken = "none",
  ) {
    this.first = registerValue.initialValue(addresses);
    for (const address of addresses) {
      const node = new SimNode(this, address, this.first);
      this.nodes.set(address, node);
      node.boot({
        disk: registerValue.initialDisk(address),
        promised: registerValue.NO_BALLOT,
        accepted: { ballot: registerValue.NO_BALLOT, value: this.first },
      });
    }
  }

  join(address: string): SimNode {
    const node = new SimNode(this, address, registerValue.initialValue([]));
    this.nodes.set(address, node);
    node.wipe();
    return node;
  }

  wait(ms: number): Promise<void> {
    const clock = this.clock;
    return new Promise(function start(resolve) {
      clock.schedule(ms, resolve);
    });
  }

  newestChosen(): schema.Value | null {
    let newest: schema.Value | null = null;
    for (const node of this.nodes.values()) {
      for (const value of node.chosen) if (!newest || value.epoch > newest.epoch) newest = value;
    }
    return newest;
  }

  isCut(from: string, to: string): boolean {
    return this.cuts.has(`${from}>${to}`);
  }

  /** Where the voter's disk runs, on whatever machine, else what its address says. */
  private addressOf(voter: schema.Voter): string {
    for (const node of this.nodes.values()) if (node.isUp && node.voter?.disk === voter.disk) return node.address;
    return voter.address;
  }

  /** The way there and back, each with its delay, its losses and its cuts. */
  private async send<T>(from: SimNode, to: string, run: (voter: acceptor.Acceptor) => Promise<T | null>): Promise<T | null> {
    const delay = 10 + this.clock.random() * 60;
    if (from.address !== to) await this.wait(delay);
    const node = this.nodes.get(to);
    const isLost = from.address !== to && (this.isCut(from.address, to) || this.clock.random() < this.lossShare);
    if (!node || !node.isUp || isLost) return this.awaitTimeout();
    while (node.isFrozen) await this.wait(100);
    const { voter } = node;
    if (!voter) return this.awaitTimeout();
    const reply = await run(voter);
    if (voter !== node.voter || !node.isUp) return this.awaitTimeout();
    if (from.address !== to) await this.wait(delay);
    return this.isCut(to, from.address) || this.clock.random() < this.lossShare ? this.awaitTimeout() : reply;
  }

  private async awaitTimeout(): Promise<null> {
    await this.wait(400);
    return null;
  }

  reach(from: SimNode): acceptorClient.AcceptorClient {
    return {
      preparedBallotNumber: () => from.voter?.preparedBallot.n ?? 0,
      prepare: (voter, request) => {
        const address = this.addressOf(voter);
        return this.send(from, address, (target) => {
          this.nodes.get(address)?.proposer.contention.recordPrepare(request.ballot);
          return target.prepare(request);
        });
      },
      accept: (voter, request) => {
        const address = this.addressOf(voter);
        return this.send(from, address, (target) => {
          this.nodes.get(address)?.proposer.contention.recordAccept(request.ballot);
          return target.accept(request);
        });
      },
    };
  }
}
