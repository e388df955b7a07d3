// Owners and routers of leases over a simulated network with faults by seed, and a checker that knows nothing of leases.
import * as leaseOwner from "../../src/limits/lease-owner.js";
import type * as limitShares from "../../src/limits/limit-shares.js";
import * as leasedLimits from "../../src/limits/leased-limits.js";
import * as limitBorrower from "../../src/router/limit-borrower.js";
import * as leaseSchema from "../../src/wire/lease-schema.js";
import * as schema from "../../src/wire/schema.js";
import * as leaseGuards from "./lease-guards.js";
import * as voters from "./voters.js";

/** A control node that owns a slot of the bounds. */
export class Node extends voters.VoterNode {
  owner!: leaseOwner.LeaseOwner;

  constructor(
    private readonly sim: LeaseSim,
    disk: string,
    first: schema.Value,
  ) {
    super(sim, disk, first);
  }

  protected override begin(): void {
    this.tenure = new leaseGuards.SimTenure(this.sim.clock, this.sim.broken);
    this.owner = new leaseGuards.SimOwner(this.sim.clock, this.life, this.sim.bounds, this.tenure, this.sim.broken);
  }
}

export class Router {
  readonly share: leasedLimits.LeasedLimits;
  readonly granting = new Map<string, boolean>();
  askedAt = -Infinity;
  turn = 0;
  frozenUntil = 0;
  constructor(
    sim: LeaseSim,
    readonly name: string,
  ) {
    this.share = new leasedLimits.LeasedLimits(sim.clock, sim.bounds);
    this.askedAt = sim.clock.now() - 300 * sim.clock.random();
  }
}

export class LeaseSim extends voters.VoterSim<Node> {
  routers: Router[] = [];

  constructor(
    seed: number,
    disks: number,
    voting: number,
    routers: number,
    readonly bounds: limitShares.Bounds,
    readonly broken: leaseGuards.Broken = "none",
  ) {
    super(seed, disks, voting);
    this.startNodes(disks, (disk) => new Node(this, disk, this.value));
    for (let count = 0; count < routers; count += 1) this.join();
  }

  join(): Router {
    this.lives += 1;
    const router = new Router(this, `r${this.lives}`);
    this.routers.push(router);
    return router;
  }

  /** As the router's Borrower does, over this network. */
  private routerTurn(router: Router): void {
    const now = this.clock.now();
    if (now < router.frozenUntil || (now / 10 + Number(router.name.slice(1))) % 10 !== 0) return;
    if (now - router.askedAt < 300 && !router.share.leases.isShort) return;
    router.askedAt = now;
    router.turn += 1;
    const needs = router.share.leases.needs();
    const granting = this.nodes.filter((node) => router.granting.get(node.life) ?? true);
    for (const node of this.nodes) {
      const place = granting.indexOf(node);
      const own = needs
        .map((need) => (place < 0 ? null : limitBorrower.splitNeed(need, place, granting.length, router.turn)))
        .filter((need) => need !== null);
      const ask: leaseSchema.LeaseRequest = {
        router: router.name,
        life: node.life,
        needs: own,
        done: router.share.leases.takeEnded(node.life),
      };
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
    this.nodesTurn();
    for (const router of this.routers) this.routerTurn(router);
    this.clock.skip(10);
  }
}
