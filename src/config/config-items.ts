// The register's value in parts, as it is pushed to routers (design/parts 4): an item for each route, service
// and other field, so that one changed route costs one item on the way and one parse at a router.
import * as registerValue from "../register/register-value.js";
import type * as feedReplica from "../feed/feed-replica.js";
import * as tenant from "../tenants/tenant.js";
import type * as schema from "../wire/schema.js";
import type * as configurationCheck from "./configuration-check.js";
import * as documentText from "./document-text.js";
import * as routeTable from "./route-table.js";

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

/** A route, a service or another field as it is pushed. */
interface ConfigItem {
  readonly key: string;
  readonly body: Buffer;
}

/** One field of the configuration as it was split last. */
interface SplitField {
  readonly text: string;
  /** Items of a list by their text; other fields have one. */
  readonly items: ReadonlyMap<string, ConfigItem>;
}

/** The control node's side: the same value gives the same items at every node. Only what changed is parsed (hardening 4). */
export class ConfigSplitter {
  private config: Buffer | null = null;
  private fields = new Map<string, SplitField>();
  private items = new Map<string, Buffer>();
  private readonly digests = new tenant.DigestCache();

  split(value: schema.Value): ReadonlyMap<string, Buffer> {
    if (!this.config?.equals(value.config)) {
      this.splitConfig(value.config);
      this.config = value.config;
    }
    const items = new Map(this.items);
    items.set(META, bytesOf({ revision: value.revision, hasConfig: value.config.length > 0 }));
    items.set(EVACUATIONS, bytesOf(value.evacuations));
    return items;
  }

  private splitConfig(config: Buffer): void {
    const fields = new Map<string, SplitField>();
    for (const { name, text } of documentText.fieldsOf(registerValue.unpackText(config))) {
      // The revision stands in the meta item: it moves with each change.
      if (name !== "revision") fields.set(name, { text, items: this.splitField(name, text) });
    }
    this.fields = fields;
    this.items = new Map();
    for (const field of fields.values()) for (const { key, body } of field.items.values()) this.items.set(key, body);
  }

  private splitField(name: string, text: string): ReadonlyMap<string, ConfigItem> {
    const before = this.fields.get(name);
    if (before?.text === text) return before.items;
    if (name === "routes") return splitList(ROUTE, text, before);
    if (name === "services") return splitList(SERVICE, text, before);
    if (name === "tenants") return this.splitTenants(text);
    return new Map([[text, { key: FIELD + name, body: Buffer.from(text) }]]);
  }

  /** Keys stay with the control nodes: what travels are their digests. */
  private splitTenants(text: string): ReadonlyMap<string, ConfigItem> {
    const items = new Map<string, ConfigItem>();
    const configured = (JSON.parse(text) ?? []) as configurationCheck.Tenant[];
    for (const tenant of this.digests.tenantsOf(configured)) items.set(tenant.name, { key: TENANT + tenant.name, body: bytesOf(tenant) });
    return items;
  }
}

/** Items whose text is known stay as they are. Their texts are cut from the new document, so that no old one is held. */
function splitList(prefix: string, text: string, before: SplitField | undefined): ReadonlyMap<string, ConfigItem> {
  const items = new Map<string, ConfigItem>();
  for (const itemText of documentText.itemsOf(text)) {
    items.set(itemText, before?.items.get(itemText) ?? itemOf(prefix, itemText));
  }
  return items;
}

function itemOf(prefix: string, text: string): ConfigItem {
  const { name } = JSON.parse(text) as { name: string };
  return { key: prefix + name, body: Buffer.from(text) };
}

/** The router's side: parses what changed, and keeps one table up to date. */
export class ConfigReplica {
  private readonly routeTable = new routeTable.RouteTable({ routes: [], services: [] });
  readonly tenants = new tenant.TenantTable();
  limits: configurationCheck.Limits | undefined = undefined;
  evacuations: readonly string[] = [];
  revision = 0;
  /** Items parsed since the start: what a change costs. */
  parsedItems = 0;
  private hasConfig = false;

  /** Null until there is a configuration. */
  get table(): routeTable.RouteTable | null {
    return this.hasConfig ? this.routeTable : null;
  }

  /** Takes one epoch whole: all is parsed before anything is in force. */
  applyChange(applied: feedReplica.AppliedChange): void {
    const parts = new Map<string, unknown>();
    for (const [key, body] of applied.changed) parts.set(key, JSON.parse(body.toString("utf8")));
    this.parsedItems += parts.size;
    const amended: routeTable.RouteTableChange = { routes: [], goneRoutes: [], services: [], goneServices: [] };
    const added: tenant.Tenant[] = [];
    const removed: string[] = [];
    for (const [key, part] of parts) {
      if (key.startsWith(ROUTE)) amended.routes.push(part as configurationCheck.Route);
      else if (key.startsWith(SERVICE)) amended.services.push(part as configurationCheck.Service);
      else if (key.startsWith(TENANT)) added.push(part as tenant.Tenant);
      else if (key === EVACUATIONS) this.evacuations = part as string[];
      else if (key === LIMITS) this.limits = part as configurationCheck.Limits;
      else if (key === META) this.applyMeta(part as Meta);
    }
    for (const key of applied.removed) {
      if (key.startsWith(ROUTE)) amended.goneRoutes.push(key.slice(ROUTE.length));
      else if (key.startsWith(SERVICE)) amended.goneServices.push(key.slice(SERVICE.length));
      else if (key.startsWith(TENANT)) removed.push(key.slice(TENANT.length));
      else if (key === LIMITS) this.limits = undefined;
    }
    this.tenants.amend(added, removed);
    this.routeTable.amend(amended);
  }

  private applyMeta(meta: Meta): void {
    this.revision = meta.revision;
    this.hasConfig = meta.hasConfig;
  }
}
