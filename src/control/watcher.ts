// The platform's list, read once for all: whoever ranks first reads, the next takes over when it falls
// silent (design 4.4).
import * as calls from "../wire/calls.js";
import * as http from "../wire/http.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as world from "../wire/world.js";
import * as log from "../startup/log.js";
import type * as dialer from "../feed/dialer.js";

const PERIOD_MS = 700;
const STEP_MS = 700;
const CALL_MS = 900;
const MOST_PAGES = 200;
const COLD_SLACK_MS = 400;

interface Page {
  instances?: unknown[];
  next_page_token?: string | null;
}

export function readInstance(item: unknown): schema.Instance | null {
  const raw = item as Record<string, unknown>;
  if (typeof raw !== "object" || raw === null) return null;
  const { instance_id: id, service, address, zone } = raw;
  if (typeof id !== "string" || typeof service !== "string" || typeof address !== "string" || typeof zone !== "string") return null;
  return {
    id: types.small(id), service, address, zone,
    capacity: whole(raw["capacity"], 1),
    isDraining: raw["state"] !== "ready",
    coldMs: whole(raw["warmup_left_ms"], 0),
    leavesMs: whole(raw["remaining_ms"], -1),
  };
}

function whole(value: unknown, otherwise: number): number {
  return typeof value === "number" && Number.isFinite(value) ? Math.round(value) : otherwise;
}

function byId(left: schema.Instance, right: schema.Instance): number {
  return left.id < right.id ? -1 : left.id > right.id ? 1 : 0;
}

export class Watcher {
  instances: schema.Instance[] = [];
  private readAt = 0;
  private heardAt = -1e9;
  private isBusy = false;
  private nextAt = 0;
  private client: http.Client | null = null;
  hasList = false;

  constructor(
    private readonly world: types.World,
    private address: string,
    private readonly ratePerS: number,
    private readonly dial: dialer.Dialer,
    private readonly rank: () => number,
    private readonly onList: (instances: schema.Instance[]) => void,
  ) {}

  turn(): void {
    const now = this.world.now();
    // Without a platform there is no list to read.
    if (this.address === "" || this.isBusy || now < this.nextAt) return;
    const rank = this.rank();
    if (rank > 0 && now - this.heardAt < PERIOD_MS + STEP_MS * rank) return;
    this.isBusy = true;
    void this.poll();
  }

  hear(told: schema.InstanceList): void {
    this.heardAt = this.world.now();
    if (!told.isSame) this.take(told.instances);
  }

  private async poll(): Promise<void> {
    const started = this.world.now();
    const list = await this.readAll();
    this.isBusy = false;
    this.nextAt = started + PERIOD_MS;
    log.count(list ? "platform.read" : "platform.failed");
    if (!list) return;
    this.heardAt = this.world.now();
    const isSame = !this.take(list);
    const told = { isSame, instances: isSame ? [] : this.instances };
    for (const control of this.dial.controls.values()) control.link.tell(calls.instances, told);
  }

  /** A sibling that came up gets the list whole. */
  greet(control: dialer.Control): void {
    if (this.hasList && this.rank() === 0) control.link.tell(calls.instances, { isSame: false, instances: this.instances });
  }

  private async readAll(): Promise<schema.Instance[] | null> {
    const found: schema.Instance[] = [];
    let token: string | null = null;
    for (let page = 0; page < MOST_PAGES; page += 1) {
      // Pages keep to half of the rate that all nodes share.
      if (page > 0) await world.sleep(this.world, 2000 / this.ratePerS);
      this.client ??= http.open(this.address, { connectMs: CALL_MS, idleMs: 4000 });
      const path: string = token === null ? "/instances" : `/instances?page_token=${encodeURIComponent(token)}`;
      const reply = await http.call(this.world, this.client, path, { withinMs: CALL_MS });
      if (!reply || reply.status !== 200) {
        if (!reply) this.drop();
        return null;
      }
      const body = parsePage(reply.body);
      if (!body) return null;
      for (const item of body.instances ?? []) {
        const instance = readInstance(item);
        if (instance) found.push(instance);
      }
      token = body.next_page_token ?? null;
      if (token === null) return found.sort(byId);
    }
    return null;
  }

  resettle(address: string): void {
    if (address === this.address) return;
    this.address = address;
    this.drop();
  }

  stop(): void {
    this.drop();
  }

  private drop(): void {
    void this.client?.destroy().catch(http.ignore);
    this.client = null;
  }

  /** True when something changed that others must hear; a coldness that only runs down is nothing new. */
  private take(list: schema.Instance[]): boolean {
    const now = this.world.now();
    const passed = now - this.readAt;
    const isFirst = !this.hasList;
    const isChanged = isFirst || list.length !== this.instances.length || list.some(differs.bind(null, this.instances, passed));
    this.readAt = now;
    this.hasList = true;
    this.instances = list;
    if (isChanged) this.onList(list);
    return isChanged;
  }
}

function differs(before: readonly schema.Instance[], passedMs: number, item: schema.Instance, index: number): boolean {
  const old = before[index];
  if (!old || old.id !== item.id || old.address !== item.address || old.isDraining !== item.isDraining) return true;
  if (old.capacity !== item.capacity || (old.leavesMs < 0) !== (item.leavesMs < 0)) return true;
  return item.coldMs > Math.max(0, old.coldMs - passedMs) + COLD_SLACK_MS;
}

function parsePage(body: Buffer): Page | null {
  try {
    return JSON.parse(body.toString("utf8")) as Page;
  } catch {
    return null;
  }
}
