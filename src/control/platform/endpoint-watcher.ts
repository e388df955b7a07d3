// The platform's list, read once for all: whoever ranks first reads, the next takes over when it falls
// silent (design 4.4).
import * as calls from "../../wire/calls.js";
import * as http from "../../wire/http.js";
import * as schema from "../../wire/schema.js";
import * as types from "../../wire/types.js";
import * as timers from "../../runtime/timers.js";
import * as log from "../../runtime/log.js";
import type * as dialer from "../../feed/dialer.js";
import * as keyed from "../../feed/keyed.js";
import * as endpointList from "./endpoint-list.js";

const PERIOD_MS = 700;
const STEP_MS = 700;
const CALL_MS = 900;
const MAX_PAGES = 200;

interface Page {
  instances?: unknown[];
  next_page_token?: string | null;
}

/** An entry of the platform's list; null where it can't be read. */
export function readInstance(item: unknown): schema.Instance | null {
  const raw = item as Record<string, unknown>;
  if (typeof raw !== "object" || raw === null) return null;
  const { instance_id: id, service, address, zone } = raw;
  if (typeof id !== "string" || typeof service !== "string" || typeof address !== "string" || typeof zone !== "string") return null;
  return {
    id: types.small(id),
    service,
    address,
    zone,
    capacity: whole(raw["capacity"], 1),
    isDraining: raw["state"] !== "ready",
    coldMs: whole(raw["warmup_left_ms"], 0),
    leavesMs: whole(raw["remaining_ms"], -1),
  };
}

function whole(value: unknown, otherwise: number): number {
  return typeof value === "number" && Number.isFinite(value) ? Math.round(value) : otherwise;
}

/**
 * Reads the platform's list while this node ranks first, else takes what the reader sends; stands in when that falls
 * silent. rank: this node's place among the readers, 0 reads.
 */
export class EndpointWatcher {
  private readonly items = new endpointList.EndpointList();
  private heardAt = -1e9;
  private isBusy = false;
  private nextAt = 0;
  private client: http.Client | null = null;
  hasList = false;

  constructor(
    private readonly world: types.Clock,
    private address: string,
    private readonly ratePerS: number,
    private readonly dial: dialer.Dialer,
    private readonly rank: () => number,
    private readonly onList: (plan: keyed.Plan) => void,
  ) {}

  instances(): schema.Instance[] {
    return this.items.all();
  }

  pollWhenDue(): void {
    const now = this.world.now();
    // Without a platform there is no list to read.
    if (this.address === "" || this.isBusy || now < this.nextAt) return;
    const rank = this.rank();
    if (rank > 0 && now - this.heardAt < PERIOD_MS + STEP_MS * rank) return;
    this.isBusy = true;
    void this.poll();
  }

  /** Replies with what is held now: the reader tells the whole list to one that holds another. */
  receiveUpdate(told: schema.Change): schema.HeldList {
    this.heardAt = this.world.now();
    if (told.digest !== this.items.digest || !this.hasList) {
      const plan = this.items.applyUpdate(told, this.world.now());
      if (plan) this.take(plan);
    }
    return { digest: this.items.digest };
  }

  private async poll(): Promise<void> {
    const started = this.world.now();
    const list = await this.readAll();
    this.isBusy = false;
    this.nextAt = started + PERIOD_MS;
    log.count(list ? "platform.read" : "platform.failed");
    if (!list) return;
    this.heardAt = this.world.now();
    const base = this.items.digest;
    const plan = this.items.replaceAll(list, this.world.now());
    this.take(plan);
    const told = this.frame(base, false, keyed.pack(keyed.changesOf(plan)));
    for (const control of this.dial.controls.values()) void this.tell(control, told);
  }

  /** What changed, also when that is nothing: siblings hear that the list is read (design/parts 6). */
  private async tell(control: dialer.Control, told: schema.Change): Promise<void> {
    const reply = await control.link.call(calls.instances, told, CALL_MS);
    if (!reply || reply.digest === told.digest) return;
    log.count("list.view");
    this.tellView(control);
  }

  private tellView(control: dialer.Control): void {
    control.link.tell(calls.instances, this.frame(keyed.EMPTY_DIGEST, true, this.items.snapshot()));
  }

  private frame(base: types.Digest, isView: boolean, packed: ReturnType<typeof keyed.pack>): schema.Change {
    return {
      place: "",
      topic: "list",
      number: 0,
      stamp: types.small(this.world.now()),
      base,
      digest: this.items.digest,
      isView,
      ...packed,
    };
  }

  /** A sibling that came up gets the list whole. */
  sendSnapshotIfReader(control: dialer.Control): void {
    if (this.hasList && this.rank() === 0) this.tellView(control);
  }

  private async readAll(): Promise<schema.Instance[] | null> {
    const found: schema.Instance[] = [];
    let token: string | null = null;
    for (let page = 0; page < MAX_PAGES; page += 1) {
      // Pages keep to half of the rate that all nodes share.
      if (page > 0) await timers.sleep(this.world, 2000 / this.ratePerS);
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
      if (token === null) return found;
    }
    return null;
  }

  setAddress(address: string): void {
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

  private take(plan: keyed.Plan): void {
    const isFirst = !this.hasList;
    this.hasList = true;
    if (isFirst || !keyed.isEmpty(plan)) this.onList(plan);
  }
}

function parsePage(body: Buffer): Page | null {
  try {
    return JSON.parse(body.toString("utf8")) as Page;
  } catch {
    return null;
  }
}
