// Voters of a register and owners of bounds over a simulated network with faults by seed: fences, changes of voters,
// crashes, freezes and cuts. What is owned, and who asks for it, is up to the simulations built on it.
import * as registerValue from "../../src/register/register-value.js";
import type * as slotOwnership from "../../src/limits/slot-ownership.js";
import * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";
import * as simulatedClock from "./simulated-clock.js";

/** A control node: a disk with the newest accepted voter epoch, and a process that may end. */
export abstract class VoterNode<Tenure extends slotOwnership.SlotOwnership = slotOwnership.SlotOwnership> {
  accepted: types.Epoch;
  chosen: schema.Value | null;
  tenure!: Tenure;
  life = "";
  frozenUntil = 0;
  downUntil = 0;
  inbox: (() => void)[] = [];

  constructor(
    private readonly lives: { lives: number },
    readonly disk: string,
    first: schema.Value,
  ) {
    this.accepted = first.voterEpoch;
    this.chosen = first;
  }

  /** Makes the tenure and the owner of a new life. */
  protected abstract begin(): void;

  start(): void {
    this.lives.lives += 1;
    this.life = `${this.disk}#${this.lives.lives}`;
    this.begin();
    this.inbox = [];
  }

  follow(): void {
    if (this.chosen) this.tenure.applyValue(this.chosen, this.disk);
  }
}

export abstract class VoterSim<Node extends VoterNode> {
  lives = 0;
  readonly clock: simulatedClock.SimulatedClock;
  readonly nodes: Node[] = [];
  readonly cuts = new Set<string>();
  /** Disks whose nodes reach routers, and no other node. */
  readonly isolated = new Set<string>();
  value: schema.Value;
  private readonly mail = new Map<number, (() => void)[]>();
  readonly delayMs = { least: 5, most: 120 };

  constructor(seed: number, disks: number, voters: number) {
    this.clock = new simulatedClock.SimulatedClock(seed * 7919 + 17);
    for (let turn = 0; turn < 9; turn += 1) this.clock.random();
    const names = Array.from({ length: disks }, (_item, index) => `d${index}`);
    this.value = { ...registerValue.initialValue([]), voters: names.slice(0, voters).map((disk) => ({ disk, node: disk, address: disk })) };
  }

  /** Called once, when the simulation is otherwise made. */
  protected startNodes(disks: number, make: (disk: string) => Node): void {
    for (let index = 0; index < disks; index += 1) {
      const node = make(`d${index}`);
      this.nodes.push(node);
      node.start();
    }
  }

  protected later(ms: number, run: () => void): void {
    const at = Math.ceil((this.clock.now() + ms) / 10) * 10;
    const all = this.mail.get(at);
    if (all) all.push(run);
    else this.mail.set(at, [run]);
  }

  protected delay(): number {
    const { least, most } = this.delayMs;
    return least + this.clock.random() * (most - least);
  }

  /** To a node: lost when cut or down, kept when frozen; the process it was meant for must still be the one there. */
  protected toNode(from: string, node: Node, run: () => void, delayMs?: number): void {
    const { life } = node;
    if (this.isCut(from, node.disk)) return;
    this.later(delayMs ?? this.delay(), () => {
      if (node.life !== life || this.clock.now() < node.downUntil || this.isCut(from, node.disk)) return;
      if (this.clock.now() < node.frozenUntil) node.inbox.push(run);
      else run();
    });
  }

  protected isCut(left: string, right: string): boolean {
    const areNodes = left.startsWith("d") && right.startsWith("d");
    if (areNodes && (this.isolated.has(left) || this.isolated.has(right))) return true;
    return this.cuts.has(left) !== this.cuts.has(right) || this.cuts.has(`${left}>${right}`);
  }

  /** A majority of both sets accepts, then it is chosen; who is cut off or down hears of it when that ends. */
  changeVoters(voters: string[]): boolean {
    const value = registerValue.withoutFormerVoters(
      registerValue.withVoters(
        this.value,
        voters.map((disk) => ({ disk, node: disk, address: disk })),
      ),
    );
    const able = this.nodes.filter((node) => this.isAble(node) && !this.cuts.has(node.disk) && !this.isolated.has(node.disk));
    const disks = new Set(able.map((node) => node.disk));
    if (!registerValue.isQuorum({ ...value, former: this.value.voters }, disks)) return false;
    for (const node of able) node.accepted = types.laterEpoch(node.accepted, value.voterEpoch);
    this.value = value;
    able[0].chosen = value;
    return true;
  }

  private isAble(node: Node): boolean {
    return this.clock.now() >= Math.max(node.downUntil, node.frozenUntil);
  }

  private nodeTurn(node: Node): void {
    if (!this.isAble(node)) return;
    for (const run of node.inbox.splice(0)) run();
    if ((this.clock.now() / 10 + this.nodes.indexOf(node)) % 30 !== 0) return;
    node.follow();
    const { epoch } = node.tenure;
    const { tenure, life } = node;
    const sentAt = this.clock.now();
    const newest = node.chosen;
    for (const other of this.nodes) {
      if (other === node) continue;
      this.toNode(node.disk, other, () => {
        if (newest && newest.epoch > (other.chosen?.epoch ?? -1)) other.chosen = newest;
        other.follow();
        const reply = { disk: other.disk, voterEpoch: other.accepted, knownMs: other.tenure.knownMs(epoch) };
        this.toNode(other.disk, node, () => {
          if (node.life === life) tenure.recordFenceReply(epoch, sentAt, reply);
        });
      });
    }
  }

  /** What is due now, and the turns of all nodes. */
  protected nodesTurn(): void {
    const now = this.clock.now();
    const due = this.mail.get(now) ?? [];
    this.mail.delete(now);
    for (const run of due) run();
    for (const node of this.nodes) this.nodeTurn(node);
  }
}

/** The most of `times` (in order) within any closed span of that length, less what is allowed there. */
export function excess(times: readonly number[], spanMs: number, allowed: (from: number, to: number) => number): number {
  let first = 0;
  let most = -Infinity;
  for (let last = 0; last < times.length; last += 1) {
    while (times[first] < times[last] - spanMs) first += 1;
    most = Math.max(most, last - first + 1 - allowed(times[last] - spanMs, times[last]));
  }
  return most;
}
