// Owners and routers of leases over a simulated network with faults by seed, and a checker that knows nothing of leases.
import * as registers from "../../src/register/value.js";
import * as owners from "../../src/shares/owner.js";
import type * as parts from "../../src/shares/parts.js";
import * as shares from "../../src/shares/shares.js";
import * as tenures from "../../src/shares/tenure.js";
import * as borrowers from "../../src/router/leases.js";
import * as leaseSchema from "../../src/wire/lease-schema.js";
import * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";
import * as guards from "./lease-guards.js";
import * as world from "./world.js";

/** A control node: a disk with the newest accepted voter epoch, and a process that may end. */
export class Node {
  accepted: types.Epoch;
  chosen: schema.Value | null;
  tenure!: tenures.Tenure;
  owner!: owners.LeaseOwner;
  life = "";
  frozenUntil = 0;
  downUntil = 0;
  inbox: (() => void)[] = [];

  constructor(
    private readonly sim: LeaseSim,
    readonly disk: string,
    first: schema.Value,
  ) {
    this.accepted = first.voterEpoch;
    this.chosen = first;
    this.start();
  }

  start(): void {
    this.sim.lives += 1;
    this.life = `${this.disk}#${this.sim.lives}`;
    this.tenure = new guards.SimTenure(this.sim.clock, this.sim.broken);
    this.owner = new guards.SimOwner(this.sim.clock, this.life, this.sim.bounds, this.tenure, this.sim.broken);
    this.inbox = [];
  }

  follow(): void {
    if (this.chosen) this.tenure.take(this.chosen, this.disk);
  }
}

export class Router {
  readonly share: shares.Shares;
  readonly granting = new Map<string, boolean>();
  askedAt = -Infinity;
  turn = 0;
  frozenUntil = 0;
  constructor(
    sim: LeaseSim,
    readonly name: string,
  ) {
    this.share = new shares.Shares(sim.clock, sim.bounds);
    this.askedAt = sim.clock.now() - 300 * sim.clock.random();
  }
}

export class LeaseSim {
  lives = 0;
  readonly clock: world.SimWorld;
  readonly nodes: Node[] = [];
  routers: Router[] = [];
  readonly cuts = new Set<string>();
  /** Disks whose nodes reach routers, and no other node. */
  readonly isolated = new Set<string>();
  value: schema.Value;
  private readonly mail = new Map<number, (() => void)[]>();
  readonly delayMs = { least: 5, most: 120 };

  constructor(
    seed: number,
    disks: number,
    voters: number,
    routers: number,
    readonly bounds: parts.Bounds,
    readonly broken: guards.Broken = "none",
  ) {
    this.clock = new world.SimWorld(seed * 7919 + 17);
    for (let turn = 0; turn < 9; turn += 1) this.clock.random();
    const names = Array.from({ length: disks }, (_item, index) => `d${index}`);
    this.value = { ...registers.firstValue([]), voters: names.slice(0, voters).map((disk) => ({ disk, node: disk, address: disk })) };
    for (const disk of names) this.nodes.push(new Node(this, disk, this.value));
    for (let count = 0; count < routers; count += 1) this.join();
  }

  join(): Router {
    this.lives += 1;
    const router = new Router(this, `r${this.lives}`);
    this.routers.push(router);
    return router;
  }

  private later(ms: number, run: () => void): void {
    const at = Math.ceil((this.clock.now() + ms) / 10) * 10;
    const all = this.mail.get(at);
    if (all) all.push(run);
    else this.mail.set(at, [run]);
  }

  private delay(): number {
    const { least, most } = this.delayMs;
    return least + this.clock.random() * (most - least);
  }

  /** To a node: lost when cut or down, kept when frozen; the process it was meant for must still be the one there. */
  private toNode(from: string, node: Node, run: () => void): void {
    const { life } = node;
    if (this.isCut(from, node.disk)) return;
    this.later(this.delay(), () => {
      if (node.life !== life || this.clock.now() < node.downUntil || this.isCut(from, node.disk)) return;
      if (this.clock.now() < node.frozenUntil) node.inbox.push(run);
      else run();
    });
  }

  private isCut(left: string, right: string): boolean {
    const areNodes = left.startsWith("d") && right.startsWith("d");
    if (areNodes && (this.isolated.has(left) || this.isolated.has(right))) return true;
    return this.cuts.has(left) !== this.cuts.has(right) || this.cuts.has(`${left}>${right}`);
  }

  /** A majority of both sets accepts, then it is chosen; who is cut off or down hears of it when that ends. */
  changeVoters(voters: string[]): boolean {
    const value = registers.settled(
      registers.withVoters(
        this.value,
        voters.map((disk) => ({ disk, node: disk, address: disk })),
      ),
    );
    const able = this.nodes.filter((node) => this.isAble(node) && !this.cuts.has(node.disk) && !this.isolated.has(node.disk));
    const disks = new Set(able.map((node) => node.disk));
    if (!registers.isQuorum({ ...value, former: this.value.voters }, disks)) return false;
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
          if (node.life === life) tenure.hear(epoch, sentAt, reply);
        });
      });
    }
  }

  /** As the router's Borrower does, over this network. */
  private routerTurn(router: Router): void {
    const now = this.clock.now();
    if (now < router.frozenUntil || (now / 10 + Number(router.name.slice(1))) % 10 !== 0) return;
    if (now - router.askedAt < 300 && !router.share.held.isShort) return;
    router.askedAt = now;
    router.turn += 1;
    const needs = router.share.held.needs();
    const granting = this.nodes.filter((node) => router.granting.get(node.life) ?? true);
    for (const node of this.nodes) {
      const place = granting.indexOf(node);
      const own = needs
        .map((need) => (place < 0 ? null : borrowers.split(need, place, granting.length, router.turn)))
        .filter((need) => need !== null);
      const ask: leaseSchema.LeaseAsk = { router: router.name, life: node.life, needs: own, done: router.share.held.done(node.life) };
      this.toNode(router.name, node, () => {
        node.follow();
        const reply = node.owner.reply(ask, node.accepted);
        this.later(this.delay(), () => {
          if (!this.routers.includes(router) || this.isCut(node.disk, router.name)) return;
          router.granting.set(node.life, reply.isGranting);
          router.share.grant(reply, now);
        });
      });
    }
  }

  /** One step of 10 ms. */
  step(): void {
    const now = this.clock.now();
    const due = this.mail.get(now) ?? [];
    this.mail.delete(now);
    for (const run of due) run();
    for (const node of this.nodes) this.nodeTurn(node);
    for (const router of this.routers) this.routerTurn(router);
    this.clock.skip(10);
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
