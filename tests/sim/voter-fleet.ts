// Control nodes over the simulated register that run the real membership policy: heartbeats with the newest chosen value,
// recovery of values not known to be chosen, and the voter manager.
import * as voterManager from "../../src/control/voters/voter-manager.js";
import * as recovery from "../../src/register/recovery.js";
import type * as registerStep from "../../src/register/register-step.js";
import * as registerValue from "../../src/register/register-value.js";
import * as result from "true-myth/result";
import * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";
import * as simRegister from "./sim-register.js";

const STEP_MS = 100;
const HEARTBEAT_INTERVAL_MS = 300;
/** A link on which nothing was received for so long is down. */
const LINK_TIMEOUT_MS = 1800;

/** The newest heartbeat of another node: when it came, and whether the node is draining. */
interface LastHeartbeat {
  at: number;
  isLeaving: boolean;
}

export class Member implements voterManager.Register, recovery.RecoverableRegister {
  chosen: schema.Value | null = null;
  private voterManager: voterManager.VoterManager;
  private readonly lastHeartbeats = new Map<Member, LastHeartbeat>();
  private recovery: recovery.Recovery;
  private nextHeartbeatAt = 0;
  isLeaving = false;

  constructor(
    private readonly fleet: Fleet,
    readonly node: simRegister.SimNode,
  ) {
    this.recovery = new recovery.Recovery(fleet.made.clock, this);
    this.voterManager = new voterManager.VoterManager(fleet.made.clock, this, this.nodesInTouch.bind(this));
    this.begin();
  }

  get disk(): string {
    return this.node.voter?.disk ?? "";
  }

  get accepted(): schema.Value | null {
    return this.node.voter?.accepted?.value ?? null;
  }

  get isConfirmed(): boolean {
    return this.chosen !== null;
  }

  canAsk(): boolean {
    return true;
  }

  rank(): number {
    return this.fleet.members.filter((other) => other.node.address < this.node.address && this.isInTouch(other)).length;
  }

  read(timeoutMs: number): Promise<registerStep.Outcome> {
    return this.change(unchanged, timeoutMs);
  }

  /** A new incarnation of the process on the disk as it is now. */
  begin(): void {
    this.chosen = null;
    this.lastHeartbeats.clear();
    const accepted = this.node.voter?.accepted;
    if (accepted) this.node.proposer.learnAccepted(accepted.value);
    this.voterManager = new voterManager.VoterManager(this.fleet.made.clock, this, this.nodesInTouch.bind(this));
    this.recovery = new recovery.Recovery(this.fleet.made.clock, this);
  }

  learn(value: schema.Value): void {
    if (this.chosen && value.epoch <= this.chosen.epoch) return;
    this.chosen = value;
    this.node.proposer.learnChosen(value);
  }

  receiveHeartbeat(from: Member, isLeaving: boolean): void {
    this.lastHeartbeats.set(from, { at: this.fleet.made.clock.now(), isLeaving });
    if (from.chosen) this.learn(from.chosen);
  }

  private isInTouch(other: Member): boolean {
    return other === this || this.fleet.made.clock.now() - (this.lastHeartbeats.get(other)?.at ?? -Infinity) < LINK_TIMEOUT_MS;
  }

  private nodesInTouch(): schema.NodeInfo[] {
    const { lastHeartbeats: heard } = this;
    return this.fleet.members.filter(this.isInTouch.bind(this)).map(nodeInTouch);
    function nodeInTouch(member: Member): schema.NodeInfo {
      return nodeOf(member, heard.get(member)?.isLeaving ?? member.isLeaving);
    }
  }

  private votersInTouch(voters: readonly schema.Voter[]): schema.Voter[] {
    const disks = new Set(this.fleet.members.filter(this.isInTouch.bind(this)).map((member) => member.disk));
    return voters.filter((voter) => disks.has(voter.disk));
  }

  hasQuorum(): boolean {
    if (!this.chosen) return false;
    const disks = this.votersInTouch(this.chosen.voters).map((voter) => voter.disk);
    return registerValue.isQuorum({ ...this.chosen, former: [] }, new Set(disks));
  }

  voterRank(): number {
    if (!this.chosen) return 0;
    const address = registerValue.addressOfDisk(this.chosen, this.disk, this.node.address);
    return this.votersInTouch(this.chosen.voters).filter((voter) => voter.address < address).length;
  }

  change(step: registerStep.Step, timeoutMs: number): Promise<registerStep.Outcome> {
    return this.node.proposer.change(step, timeoutMs);
  }

  transferSnapshot(learner: schema.Voter): Promise<boolean> {
    return this.node.proposer.transferSnapshot(learner);
  }

  refuseToJoin(): void {
    this.node.voter?.rejectMembership();
  }

  repair(timeoutMs: number): Promise<registerStep.Outcome> {
    return this.node.proposer.repair(timeoutMs);
  }

  /** It says in its heartbeats that it leaves, and hands its vote over. */
  handOver(timeoutMs: number): Promise<void> {
    this.isLeaving = true;
    return this.voterManager.handOver(timeoutMs);
  }

  runPeriodically(): void {
    if (!this.node.isUp || this.node.isFrozen || !this.node.voter) return;
    const now = this.fleet.made.clock.now();
    if (now >= this.nextHeartbeatAt) {
      this.nextHeartbeatAt = now + HEARTBEAT_INTERVAL_MS;
      this.fleet.publish(this);
    }
    this.recovery.recoverIfNeeded();
    this.voterManager.runPeriodically();
  }
}

export class Fleet {
  readonly members: Member[] = [];

  constructor(readonly made: simRegister.SimRegister) {
    for (const node of made.nodes.values()) this.enter(node);
    this.step();
  }

  private enter(node: simRegister.SimNode): Member {
    const member = new Member(this, node);
    this.members.push(member);
    node.onChosen = (value) => {
      member.learn(value);
      this.publish(member);
    };
    return member;
  }

  /** A machine with a blank disk starts at a new address. */
  join(address: string): Member {
    return this.enter(this.made.join(address));
  }

  at(address: string): Member {
    return this.members.find((member) => member.node.address === address)!;
  }

  wipe(member: Member): void {
    member.node.wipe();
    member.begin();
  }

  restart(member: Member): void {
    member.node.isUp = true;
    member.node.restart();
    member.begin();
  }

  /** Heartbeat and publication in one: the newest chosen value goes to all that can be reached. */
  publish(from: Member): void {
    const { clock, lossShare } = this.made;
    const { isLeaving } = from;
    for (const to of this.members) {
      if (to === from || this.made.isCut(from.node.address, to.node.address) || clock.random() < lossShare) continue;
      clock.schedule(10 + clock.random() * 60, () => {
        if (to.node.isUp && from.node.isUp && !to.node.isFrozen) to.receiveHeartbeat(from, isLeaving);
      });
    }
  }

  private step(): void {
    for (const member of this.members) member.runPeriodically();
    this.made.clock.schedule(STEP_MS, this.step.bind(this));
  }

  /** The newest value that any node knows to be chosen. */
  newest(): schema.Value {
    return this.members.reduce<schema.Value>(
      (newest, { chosen }) => (chosen && chosen.epoch > newest.epoch ? chosen : newest),
      this.made.first,
    );
  }

  /** Whether so many voters are in force, none of them joint, each with the newest value on its synced disk. */
  isStrong(voters: number): boolean {
    const newest = this.newest();
    if (newest.former.length > 0 || newest.voters.length !== voters) return false;
    return newest.voters.every((voter) => {
      const holder = this.members.find((member) => member.node.isUp && member.disk === voter.disk);
      const stored = holder?.node.stored;
      return stored !== null && stored !== undefined && schema.disk.fromBuffer(stored).accepted?.value.epoch === newest.epoch;
    });
  }

  /** Plays until so many voters are in force in full; the time it took, or Infinity after the bound. */
  async untilStrong(voters: number, timeoutMs: number): Promise<number> {
    const { clock } = this.made;
    const from = clock.now();
    while (clock.now() - from < timeoutMs) {
      if (this.isStrong(voters)) return clock.now() - from;
      await clock.play(20);
    }
    return Infinity;
  }
}

function unchanged(value: schema.Value): registerStep.Outcome {
  return result.ok(value);
}

function nodeOf(member: Member, isLeaving: boolean): schema.NodeInfo {
  const { address } = member.node;
  const name = address.split(":")[0];
  const place = { zone: "z", region: "r", outside: "", life: "" };
  return { ...place, name, role: "control", address, disk: member.disk, isCounted: true, isReady: !isLeaving, epoch: types.NO_EPOCH };
}
