/** The owners of quotas as one router knows them: which grant, and whose part of a tenant's quota is spent (design/tenants 4.4). */
import type * as controlNode from "../feed/control-node.js";
import type * as tenantSchema from "../wire/tenant-schema.js";
import type * as types from "../wire/types.js";

/** One that said it does not grant is asked again after so long. */
const REST_MS = 300;
/** Spent quotas that are remembered of one owner. */
const MAX_SPENT = 4096;

/** One owner. */
export class Source {
  /** Not asked for units before; 0: it grants as far as is known. */
  private restsUntil = 0;
  /** It has not replied within its usual time, and not since: others are asked first. */
  isLate = false;
  private readonly spentUntil = new Map<string, number>();
  /** Ids of its units that no request used, by tenant. */
  private readonly unused = new Map<string, number[]>();

  constructor(
    private readonly clock: types.Clock,
    readonly control: controlNode.ControlNode,
  ) {}

  get incarnation(): string {
    return this.control.node.life;
  }

  /** It said that it does not grant, or did not reply. */
  rest(): void {
    this.restsUntil = this.clock.now() + REST_MS;
  }

  /** Its part of the tenant's quota is spent for so many milliseconds. */
  spend(tenant: string, waitMs: number): void {
    if (this.spentUntil.size >= MAX_SPENT) this.spentUntil.clear();
    this.spentUntil.set(tenant, this.clock.now() + waitMs);
  }

  /** How long its part of the tenant's quota is still known to be spent, in milliseconds. */
  spentMs(tenant: string): number {
    return Math.max(0, (this.spentUntil.get(tenant) ?? 0) - this.clock.now());
  }

  /** A unit of it was not used in its time. */
  returnUnused(tenant: string, id: number): void {
    const ids = this.unused.get(tenant);
    if (ids) ids.push(id);
    else this.unused.set(tenant, [id]);
  }

  /** The ids of the tenant's unused units that are to be reported; reported once. */
  takeUnused(tenant: string): number[] {
    const ids = this.unused.get(tenant) ?? [];
    this.unused.delete(tenant);
    return ids;
  }

  /** The same of all tenants. */
  takeAllUnused(): tenantSchema.UnitRequest[] {
    const takings: tenantSchema.UnitRequest[] = [];
    for (const [tenant, unused] of this.unused) takings.push({ tenant, wanted: 0, unused });
    this.unused.clear();
    return takings;
  }

  isResting(): boolean {
    return this.restsUntil > this.clock.now();
  }
}

/** All owners that this router has a link to. */
export class Sources {
  private readonly byIncarnation = new Map<string, Source>();

  constructor(
    private readonly clock: types.Clock,
    private readonly region: string,
    private readonly controls: ReadonlyMap<string, controlNode.ControlNode>,
  ) {}

  /** Those that reply go before those that are late; the own region's first, then the nearest by their hellos. */
  ordered(): Source[] {
    const sources: Source[] = [];
    for (const control of this.controls.values()) if (control.link.isOpen) sources.push(this.sourceOf(control));
    return sources.sort((left, right) => Number(left.isLate) - Number(right.isLate) || this.distance(left) - this.distance(right));
  }

  private distance({ control }: Source): number {
    return control.node.region === this.region ? -1 : control.roundTripMs;
  }

  private sourceOf(control: controlNode.ControlNode): Source {
    const known = this.byIncarnation.get(control.node.life);
    if (known?.control === control) return known;
    const source = new Source(this.clock, control);
    this.byIncarnation.set(control.node.life, source);
    return source;
  }

  /** Forgets owners whose links have ended. */
  sweep(): void {
    for (const [life, source] of this.byIncarnation) if (!source.control.link.isOpen) this.byIncarnation.delete(life);
  }
}
