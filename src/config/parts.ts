// The register's value in parts, as it is pushed to routers (design/parts 4): an item for each route, service
// and other field, so that one changed route costs one item on the way and one parse at a router.
import * as registers from "../register/value.js";
import type * as mirrors from "../feed/mirror.js";
import * as tenants from "../tenants/tenant.js";
import type * as schema from "../wire/schema.js";
import * as check from "./check.js";
import * as routes from "./routes.js";

const META = "meta";
const EVACUATIONS = "evacuations";
const LIMITS = "field:limits";
const ROUTE = "route:";
const SERVICE = "service:";
const TENANT = "tenant:";
const FIELD = "field:";

interface Meta {
  revision: number;
  hasConfig: boolean;
}

function bytesOf(part: unknown): Buffer {
  return Buffer.from(JSON.stringify(part));
}

function splitConfig(config: Buffer, digests: tenants.DigestCache): Map<string, Buffer> {
  const items = new Map<string, Buffer>();
  const document = (registers.unpack(config) ?? {}) as Record<string, unknown>;
  for (const [field, part] of Object.entries(document)) {
    // The revision stands in the meta item: it moves with each change.
    if (field === "revision") continue;
    if (field === "routes") for (const route of part as check.Route[]) items.set(ROUTE + route.name, bytesOf(route));
    else if (field === "services") for (const service of part as check.Service[]) items.set(SERVICE + service.name, bytesOf(service));
    else if (field === "tenants") {
      // Keys stay with the control nodes: what travels are their digests.
      for (const tenant of digests.tenantsOf((part ?? []) as check.Tenant[])) items.set(TENANT + tenant.name, bytesOf(tenant));
    } else items.set(FIELD + field, bytesOf(part));
  }
  return items;
}

/** The control node's side: the same value gives the same items at every node. */
export class Splitter {
  private config: Buffer | null = null;
  private items = new Map<string, Buffer>();
  private readonly digests = new tenants.DigestCache();

  split(value: schema.Value): ReadonlyMap<string, Buffer> {
    if (!this.config?.equals(value.config)) {
      this.items = splitConfig(value.config, this.digests);
      this.config = value.config;
    }
    const items = new Map(this.items);
    items.set(META, bytesOf({ revision: value.revision, hasConfig: value.config.length > 0 }));
    items.set(EVACUATIONS, bytesOf(value.evacuations));
    return items;
  }
}

/** The router's side: parses what changed, and keeps one table up to date. */
export class ConfigParts {
  private readonly whole = new routes.RouteTable({ routes: [], services: [] });
  readonly tenants = new tenants.TenantTable();
  limits: check.Limits | undefined = undefined;
  evacuations: readonly string[] = [];
  revision = 0;
  /** Items parsed since the start: what a change costs. */
  parsed = 0;
  private hasConfig = false;

  /** Null until there is a configuration. */
  get table(): routes.RouteTable | null {
    return this.hasConfig ? this.whole : null;
  }

  /** Takes one epoch whole: all is parsed before anything is in force. */
  take(applied: mirrors.Applied): void {
    const parts = new Map<string, unknown>();
    for (const [key, body] of applied.changed) parts.set(key, JSON.parse(body.toString("utf8")));
    this.parsed += parts.size;
    const amended: routes.Amendment = { routes: [], goneRoutes: [], services: [], goneServices: [] };
    const added: tenants.Tenant[] = [];
    const removed: string[] = [];
    for (const [key, part] of parts) {
      if (key.startsWith(ROUTE)) amended.routes.push(part as check.Route);
      else if (key.startsWith(SERVICE)) amended.services.push(part as check.Service);
      else if (key.startsWith(TENANT)) added.push(part as tenants.Tenant);
      else if (key === EVACUATIONS) this.evacuations = part as string[];
      else if (key === LIMITS) this.limits = part as check.Limits;
      else if (key === META) this.takeMeta(part as Meta);
    }
    for (const key of applied.gone) {
      if (key.startsWith(ROUTE)) amended.goneRoutes.push(key.slice(ROUTE.length));
      else if (key.startsWith(SERVICE)) amended.goneServices.push(key.slice(SERVICE.length));
      else if (key.startsWith(TENANT)) removed.push(key.slice(TENANT.length));
      else if (key === LIMITS) this.limits = undefined;
    }
    this.tenants.amend(added, removed);
    this.whole.amend(amended);
  }

  private takeMeta(meta: Meta): void {
    this.revision = meta.revision;
    this.hasConfig = meta.hasConfig;
  }
}
