// This node's part in the register: voter, proposer, what is chosen, and its news (design 5).
import * as events from "node:events";
import * as calls from "../wire/calls.js";
import * as link from "../wire/link.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../startup/log.js";
import * as dialer from "../feed/dialer.js";
import * as proposers from "../register/proposer.js";
import * as registers from "../register/value.js";
import * as voters from "../register/voter.js";
import * as result from "true-myth/result";

const VOTE_MS = 1300;
const REPAIR_AFTER_MS = 350;
const RANK_MS = 250;
const REPAIR_WITHIN_MS = 1500;

export interface CoreEvents {
  chosen: [value: schema.Value];
}

export interface CoreOptions {
  life: string;
  address: string;
  first: schema.Value;
}

export class Core extends events.EventEmitter<CoreEvents> implements proposers.Reach {
  private voter: voters.Voter | null = null;
  private isConfirmed = false;
  private behindSince = 0;
  private isRepairing = false;
  readonly proposer: proposers.Proposer;
  chosen: schema.Value | null = null;

  constructor(
    private readonly world: types.World,
    private readonly options: CoreOptions,
    private readonly dial: dialer.Dialer,
  ) {
    super();
    this.proposer = new proposers.Proposer(world, options.life, this, options.first, this.learnOwn.bind(this));
  }

  get disk(): string {
    return this.voter?.disk ?? "";
  }

  /** The newest voters accepted on the own disk, chosen or not. */
  get acceptedVoterEpoch(): types.Epoch {
    return this.voter?.accepted?.value.voterEpoch ?? types.NO_EPOCH;
  }

  /** The newest epoch accepted on the own disk, chosen or not. */
  get acceptedEpoch(): types.Epoch {
    return this.voter?.accepted?.value.epoch ?? types.NO_EPOCH;
  }

  /** The disk is read: from now on this node may vote. */
  enter(voter: voters.Voter): void {
    this.voter = voter;
    if (voter.accepted) {
      this.proposer.heard(voter.accepted.value);
      this.dial.know(addressesOf(voter.accepted.value));
    }
  }

  /** From now on this node does not vote; the disk may be closed. */
  leave(): void {
    this.voter = null;
  }

  register(handlers: link.Handlers): void {
    const core = this;
    handlers.on(calls.prepare, function prepare(_from, ask) {
      return core.voter ? core.voter.prepare(ask) : null;
    });
    handlers.on(calls.accept, function accept(_from, ask) {
      return core.voter ? core.voter.accept(ask) : null;
    });
    handlers.on(calls.chosen, function chosen(_from, news) {
      if (news.value) core.learn(news.value);
      return null;
    });
    handlers.on(calls.ask, function ask(_from, asked) {
      const value = core.chosen;
      return { value: value && value.epoch > asked.epoch ? value : null };
    });
  }

  private reachOf(voter: schema.Voter): link.Link | null {
    return this.dial.controls.get(voter.address)?.link ?? null;
  }

  prepare(voter: schema.Voter, ask: schema.Prepare): Promise<schema.Vote | null> {
    if (voter.address === this.options.address) return this.voter ? this.voter.prepare(ask) : Promise.resolve(null);
    return this.reachOf(voter)?.call(calls.prepare, ask, VOTE_MS) ?? Promise.resolve(null);
  }

  accept(voter: schema.Voter, ask: schema.Accept): Promise<schema.Vote | null> {
    if (voter.address === this.options.address) return this.voter ? this.voter.accept(ask) : Promise.resolve(null);
    return this.reachOf(voter)?.call(calls.accept, ask, VOTE_MS) ?? Promise.resolve(null);
  }

  /** Whether a majority of the voters can be reached now. */
  isSettled(): boolean {
    if (!this.chosen) return false;
    const reached = new Set<string>();
    for (const voter of this.chosen.voters) {
      if (voter.address === this.options.address || this.reachOf(voter)) reached.add(voter.disk);
    }
    return registers.isQuorum({ ...this.chosen, former: [] }, reached);
  }

  private learnOwn(value: schema.Value): void {
    this.isConfirmed = true;
    if (!this.learn(value)) return;
    for (const control of this.dial.controls.values()) control.link.tell(calls.chosen, { value });
  }

  /** Takes what is chosen; never goes back. */
  learn(value: schema.Value): boolean {
    if (this.chosen && value.epoch <= this.chosen.epoch) return false;
    this.chosen = value;
    this.isConfirmed = true;
    this.proposer.heard(value);
    this.dial.know(addressesOf(value));
    log.state(`register: epoch ${value.epoch}, revision ${value.revision}, ${value.voters.length} voters`);
    this.emit("chosen", value);
    return true;
  }

  /** Asks a sibling that knows a newer epoch. */
  async catchUp(from: link.Link, epoch: types.Epoch): Promise<void> {
    if (this.chosen && epoch <= this.chosen.epoch) return;
    const reply = await from.call(calls.ask, { epoch: this.chosen ? this.chosen.epoch : types.NO_EPOCH }, VOTE_MS);
    if (reply?.value) this.learn(reply.value);
  }

  change(step: proposers.Step, withinMs: number): Promise<proposers.Outcome> {
    return this.proposer.change(step, withinMs);
  }

  /** Reads at a majority; never a local guess. */
  read(withinMs: number): Promise<proposers.Outcome> {
    return this.proposer.change(unchanged, withinMs);
  }

  /** A value accepted here and not known to be chosen is brought to an end: its proposer may be gone. */
  turn(): void {
    const accepted = this.voter?.accepted;
    const isBehind = !this.isConfirmed || (accepted && (!this.chosen || accepted.value.epoch > this.chosen.epoch));
    if (!isBehind) {
      this.behindSince = 0;
      return;
    }
    const now = this.world.now();
    const isAlone = accepted?.value.voters.length === 1;
    if (this.isRepairing || (this.dial.controls.size === 0 && !isAlone)) return;
    if (this.behindSince === 0) this.behindSince = now;
    // After a start nobody knows what is chosen: the first in order reads it at once, the others give it time.
    const patience = (this.isConfirmed ? REPAIR_AFTER_MS : 0) + this.rank() * RANK_MS;
    if (now - this.behindSince < patience) return;
    this.isRepairing = true;
    void this.repair();
  }

  private rank(): number {
    let rank = 0;
    for (const address of this.dial.controls.keys()) if (address < this.options.address) rank += 1;
    return rank;
  }

  private async repair(): Promise<void> {
    await this.read(REPAIR_WITHIN_MS);
    this.isRepairing = false;
    this.behindSince = 0;
  }
}

export function unchanged(read: schema.Value): ReturnType<proposers.Step> {
  return result.ok(read);
}

function addressesOf(value: schema.Value): string[] {
  const addresses: string[] = [];
  for (const voter of [...value.voters, ...value.former]) addresses.push(voter.address);
  return addresses;
}
