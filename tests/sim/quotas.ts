// Owners of quotas and routers that ask them for units, over a simulated network with faults by seed, and a record of
// what ran that knows nothing of units.
import type * as controlNode from "../../src/feed/control-node.js";
import type * as quotaClaim from "../../src/tenants/quota-claim.js";
import * as quotaClient from "../../src/tenants/quota-client.js";
import * as quotaOwner from "../../src/tenants/quota-owner.js";
import type * as quotaPart from "../../src/tenants/quota-part.js";
import * as quotaTenure from "../../src/tenants/quota-tenure.js";
import * as quotaSources from "../../src/tenants/quota-sources.js";
import type * as schema from "../../src/wire/schema.js";
import type * as tenantSchema from "../../src/wire/tenant-schema.js";
import * as types from "../../src/wire/types.js";
import * as voters from "./voters.js";

/** A guard that a test may break on purpose, to see the checker fail. */
export type Broken = "none" | "full_bucket" | "no_fence" | "stale_units";

export const BOUNDS: quotaPart.QuotaBounds = { quota_window_s: 5, quota_overshoot: 0.1, quota_tolerance: 20 };
const STEP_MS = 10;

class SimTenure extends quotaTenure.QuotaTenure {
  constructor(private readonly sim: QuotaSim) {
    super(sim.clock, { fenceMs: quotaTenure.FENCE_MS, maxLeaseMs: quotaClient.UNIT_LIFETIME_MS });
  }
  protected override hasMajority(slots: number, isOwnCounted: boolean): boolean {
    return this.sim.broken === "no_fence" || super.hasMajority(slots, isOwnCounted);
  }
}

class SimOwner extends quotaOwner.QuotaOwner {
  constructor(
    private readonly sim: QuotaSim,
    life: string,
    tenure: quotaTenure.QuotaTenure,
  ) {
    super(sim.clock, life, BOUNDS, tenure);
  }
  protected override earnedSince(): number {
    return this.sim.broken === "full_bucket" ? -1e9 : super.earnedSince();
  }
}

class SimClient extends quotaClient.QuotaClient {
  constructor(
    private readonly sim: QuotaSim,
    known: quotaSources.Sources,
  ) {
    super(sim.clock, known, () => undefined);
  }
  protected override expiryOf(sentAt: types.SteadyMs): types.SteadyMs {
    return this.sim.broken === "stale_units" ? types.small(Infinity) : super.expiryOf(sentAt);
  }
}

export class Owner extends voters.VoterNode<quotaTenure.QuotaTenure> {
  owner!: SimOwner;

  constructor(
    private readonly sim: QuotaSim,
    disk: string,
    first: schema.Value,
  ) {
    super(sim, disk, first);
  }

  /** As its disk keeps it over the lives of the process. */
  private note: { epoch: types.Epoch; slot: number; slots: number } | null = null;
  private isRestored = false;

  override follow(): void {
    super.follow();
    const { tenure, note } = this;
    if (!this.isRestored && note) tenure.restore(this.disk, note.epoch, note);
    this.isRestored = true;
    if (tenure.isSettledIn()) this.note = { epoch: tenure.epoch, slot: tenure.slot, slots: tenure.slots };
  }

  protected override begin(): void {
    this.isRestored = false;
    this.tenure = new SimTenure(this.sim);
    this.owner = new SimOwner(this.sim, this.life, this.tenure);
    this.owner.setLimits(this.sim.limits);
  }
}

/** What ran of one tenant, in ms, and what became of the rest. */
export interface Record {
  ran: number[];
  exhausted: number;
  unreached: number;
}

/** A router with links to all owners, or to some. */
export class Router {
  readonly controls = new Map<string, controlNode.ControlNode>();
  readonly client: quotaClient.QuotaClient;
  frozenUntil = 0;
  asks = 0;
  private thawing: (() => void)[] = [];

  constructor(
    private readonly sim: QuotaSim,
    readonly name: string,
    region: string,
  ) {
    const known = new quotaSources.Sources(sim.clock, region, this.controls);
    this.client = new SimClient(sim, known);
  }

  link(owner: Owner, region: string, tripMs: number): void {
    const call = (_pair: unknown, ask: tenantSchema.QuotaRequest, withinMs: number): Promise<tenantSchema.QuotaReply | null> =>
      this.call(owner, ask, withinMs, tripMs);
    const node = { region } as schema.NodeInfo;
    Object.defineProperty(node, "life", { get: () => owner.life });
    const control = { address: owner.disk, node, link: { isOpen: true, call }, roundTripMs: tripMs } as unknown as controlNode.ControlNode;
    this.controls.set(owner.disk, control);
  }

  private call(owner: Owner, ask: tenantSchema.QuotaRequest, withinMs: number, tripMs: number): Promise<tenantSchema.QuotaReply | null> {
    this.asks += 1;
    return new Promise((resolve) => {
      const tick = this.sim.clock.schedule(withinMs, () => this.whenAwake(() => resolve(null)));
      this.sim.ask(this, owner, ask, tripMs, (reply) => {
        tick.stop();
        this.whenAwake(() => resolve(reply));
      });
    });
  }

  /** A process that stands still takes what arrived once it goes on. */
  private whenAwake(run: () => void): void {
    if (this.sim.clock.now() < this.frozenUntil) this.thawing.push(run);
    else run();
  }

  turn(): void {
    if (this.sim.clock.now() < this.frozenUntil) return;
    for (const run of this.thawing.splice(0)) run();
    this.client.runPeriodically();
  }

  /** A request of the tenant; it runs as soon as it has its unit. */
  request(tenant: string): void {
    const record = this.sim.recordOf(tenant);
    this.client.claim(tenant, (verdict: quotaClaim.ClaimOutcome) => {
      if (verdict.kind === "exhausted") record.exhausted += 1;
      else if (verdict.kind === "unreached") record.unreached += 1;
      else record.ran.push(this.sim.clock.now());
    });
  }
}

export class QuotaSim extends voters.VoterSim<Owner> {
  readonly routers: Router[] = [];
  readonly records = new Map<string, Record>();
  limits = new Map<string, quotaPart.Limit>();

  constructor(
    seed: number,
    disks: number,
    voting: number,
    limits: Iterable<[string, quotaPart.Limit]>,
    readonly broken: Broken = "none",
  ) {
    super(seed, disks, voting);
    this.limits = new Map(limits);
    this.startNodes(disks, (disk) => new Owner(this, disk, this.value));
  }

  /** Routers of so many regions, each with links to that many owners: one of its own region, then by turns of the others. */
  join(count: number, regions: number, links = 3): void {
    const sites = this.nodes.map((owner, place) => ({ owner, region: `g${place % regions}` }));
    for (let index = 0; index < count; index += 1) {
      const region = `g${index % regions}`;
      const turned = [...sites.slice(index % sites.length), ...sites.slice(0, index % sites.length)];
      const own = turned.filter((site) => site.region === region);
      const others = turned.filter((site) => site.region !== region);
      const router = new Router(this, `r${this.routers.length}`, region);
      for (const site of [...own.slice(0, 1), ...others, ...own.slice(1)].slice(0, links))
        router.link(site.owner, site.region, site.region === region ? 4 : 110);
      this.routers.push(router);
    }
  }

  recordOf(tenant: string): Record {
    let record = this.records.get(tenant);
    if (!record) {
      record = { ran: [], exhausted: 0, unreached: 0 };
      this.records.set(tenant, record);
    }
    return record;
  }

  setLimits(limits: Iterable<[string, quotaPart.Limit]>): void {
    this.limits = new Map(limits);
    for (const node of this.nodes) node.owner.setLimits(this.limits);
  }

  ask(router: Router, owner: Owner, ask: tenantSchema.QuotaRequest, tripMs: number, reply: (told: tenantSchema.QuotaReply) => void): void {
    this.toNode(
      router.name,
      owner,
      () => {
        owner.follow();
        const given = owner.owner.reply(ask, owner.accepted);
        const told = { isGranting: given !== null, isConfirmed: false, epoch: types.NO_EPOCH, given: given ?? [] };
        this.later(tripMs / 2, () => {
          if (!this.isCut(owner.disk, router.name)) reply(told);
        });
      },
      tripMs / 2,
    );
  }

  async step(): Promise<void> {
    this.nodesTurn();
    for (const router of this.routers) router.turn();
    await this.clock.play(STEP_MS);
  }
}
