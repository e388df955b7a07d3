// The clients of a soak: each keeps one connection and uses it until it ends, and writes down what became of each exchange.
import type * as history from "../model/history.js";
import * as simulatedClock from "../sim/simulated-clock.js";
import * as callers from "./callers.js";
import * as nodes from "./nodes.js";
import * as soakAccount from "./soak-account.js";
import * as soakConnection from "./soak-connection.js";

const TALLY = "soak";
const MAX_PAUSE_MS = 120;
/** Now and then a connection rests for longer. */
const LONG_PAUSE_MS = 1500;
const ORDER_PAUSE_MS = 150;
const RETRY_PAUSE_MS = 50;
const READ_TIMEOUT_MS = 20_000;

/** The nodes that the clients call. */
export interface Fleet {
  controls: number;
  routers: number;
  account: soakAccount.Account;
}

export interface Client {
  /** Resolves after `stop`, when nothing is under way. */
  run(): Promise<void>;
  stop(): void;
}

export function isReady(router: number): Promise<boolean> {
  return callers.call(nodes.readinessOf(router), "GET", "/-/ready").then((reply) => reply?.status === 200);
}

/** Whether a majority confirms the control node within this time. */
export async function isConfirmedWithin(control: number, withinMs: number): Promise<boolean> {
  const until = performance.now() + withinMs;
  while (performance.now() < until) {
    const reply = await callers.call(nodes.controlOf(control), "GET", "/-/status");
    if (reply?.status === 200 && (JSON.parse(reply.body) as { isSettled: boolean }).isSettled) return true;
    await nodes.pause(RETRY_PAUSE_MS);
  }
  return false;
}

/** A connection to one node of a role; the next node is taken when nobody listens there, or it sends the client away. */
abstract class KeptClient implements Client {
  private connection: soakConnection.Connection | null = null;
  private node = 0;
  protected isOver = false;
  protected count = 0;

  constructor(
    protected readonly fleet: Fleet,
    private readonly role: nodes.Role,
    first: number,
  ) {
    this.node = first % this.nodeCount;
  }

  private get nodeCount(): number {
    return this.role === "router" ? this.fleet.routers : this.fleet.controls;
  }

  abstract run(): Promise<void>;

  stop(): void {
    this.isOver = true;
  }

  protected async exchange(
    id: string,
    kind: soakAccount.Entry["kind"],
    isOnce: boolean,
    message: soakConnection.Message,
  ): Promise<soakConnection.Exchange> {
    const address = this.role === "router" ? nodes.frontOf(this.node) : nodes.controlOf(this.node);
    this.connection ??= new soakConnection.Connection(address);
    const node = `${this.role}-${this.node}`;
    const exchange = await this.connection.send(message);
    this.fleet.account.entries.push({ id, kind, isOnce, node, exchange });
    if (exchange.ending === "refused" || exchange.status === 503 || exchange.status === 307) this.moveOn();
    return exchange;
  }

  /** To the node after this one. */
  private moveOn(): void {
    this.leave();
    this.node = (this.node + 1) % this.nodeCount;
  }

  protected leave(): void {
    this.connection?.close();
    this.connection = null;
  }
}

const ROUTES = [
  { path: "/lookup/x", isOnce: false, tokens: false },
  { path: "/stream/x", isOnce: false, tokens: true },
  { path: "/once/x", isOnce: true, tokens: true },
];

/** A client of the routers. */
export class RequestClient extends KeptClient {
  private readonly random: simulatedClock.SimulatedClock;

  constructor(
    fleet: Fleet,
    private readonly number: number,
    seed: number,
  ) {
    super(fleet, "router", number);
    this.random = new simulatedClock.SimulatedClock(seed * 1000 + number);
  }

  async run(): Promise<void> {
    while (!this.isOver) {
      this.count += 1;
      const id = `q${this.number}-${this.count}`;
      const { path, isOnce, tokens } = ROUTES[Math.floor(this.random.random() * ROUTES.length)];
      const headers: Record<string, string> = { Host: "soak.example", "X-Cranewind-Request-Id": id };
      if (tokens) headers["X-Cranewind-Token-Usage"] = "10 8";
      const { ending, status } = await this.exchange(id, "request", isOnce, { method: "POST", path, headers, body: "soak" });
      const isServed = ending === "complete" && status === 200;
      const pauseMs = this.random.random() < 0.05 ? LONG_PAUSE_MS : MAX_PAUSE_MS * this.random.random();
      await nodes.pause(isServed ? pauseMs : RETRY_PAUSE_MS);
    }
    this.leave();
  }
}

/** A client of the control nodes that adds one to a tally, each time with a new id. */
export class AddClient extends KeptClient {
  constructor(
    fleet: Fleet,
    private readonly number: number,
  ) {
    super(fleet, "control", number);
  }

  async run(): Promise<void> {
    while (!this.isOver) {
      this.count += 1;
      const id = `add-${this.number}-${this.count}`;
      const body = JSON.stringify({ instance_id: id, actor: 1 });
      await this.exchange(id, "add", false, { method: "POST", path: `/-/Tallies.Update/${TALLY}`, headers: {}, body });
      await nodes.pause(RETRY_PAUSE_MS);
    }
    this.leave();
  }
}

/** The total that a control node tells, once one does; null: none in time. */
export async function totalOf({ controls }: Fleet): Promise<number | null> {
  const until = performance.now() + READ_TIMEOUT_MS;
  for (let turn = 0; performance.now() < until; turn += 1) {
    const reply = await callers.call(nodes.controlOf(turn % controls), "GET", `/-/Tallies.Describe/${TALLY}`);
    if (reply?.status === 200) return (JSON.parse(reply.body) as { total: number }).total;
    await nodes.pause(RETRY_PAUSE_MS);
  }
  return null;
}

/** What was acknowledged is in the total, and nothing that was not taken. */
export function checkAdds(account: soakAccount.Account, total: number | null): string | null {
  const adds = account.entries.filter(({ kind }) => kind === "add");
  const acknowledged = adds.filter(({ exchange }) => exchange.status === 200).length;
  const unclear = adds.filter(
    ({ exchange }) => exchange.status === 504 || (exchange.ending !== "complete" && exchange.ending !== "refused"),
  ).length;
  if (total === null) return `no control node tells the total ${READ_TIMEOUT_MS / 1000} s after the end`;
  if (total < acknowledged) return `${acknowledged} adds were acknowledged, and the total is ${total}`;
  return total > acknowledged + unclear ? `the total is ${total}, and at most ${acknowledged + unclear} adds were taken` : null;
}

/** The operator: one order after the other, sent again until it has a clear answer; deadlines and limits shrink and grow. */
export class OrderClient extends KeptClient {
  readonly seen: history.History = { sendings: [], reads: [] };
  confirmed = 0;
  private refusal: string | null = null;

  constructor(fleet: Fleet) {
    super(fleet, "control", 0);
  }

  /** Whether the first configuration is taken in time. */
  async begin(withinMs: number): Promise<boolean> {
    const until = performance.now() + withinMs;
    while (this.confirmed === 0 && performance.now() < until) await this.order();
    return this.confirmed > 0;
  }

  async run(): Promise<void> {
    while (!this.isOver) {
      await this.order();
      await nodes.pause(ORDER_PAUSE_MS);
    }
    await this.readBack();
    this.leave();
  }

  private async order(): Promise<void> {
    const base = this.confirmed;
    const mark = `soak-${base}`;
    this.count += 1;
    const headers = { "Content-Type": "application/json", "X-Cranewind-Base-Version": String(base) };
    const body = JSON.stringify(documentOf(base + 1, mark));
    const startMs = performance.now();
    const exchange = await this.exchange(`order-${this.count}`, "order", false, {
      method: "POST",
      path: "/-/Config.Replace",
      headers,
      body,
    });
    const reply = replyOf(exchange);
    this.seen.sendings.push({ mark, base, revision: base + 1, startMs, endMs: performance.now(), reply });
    if (reply === "confirmed") this.confirmed = base + 1;
    if (reply === "refused") this.refusal ??= `the order on ${base} was refused with ${exchange.status}: ${exchange.body}`;
    if (reply !== "confirmed") await nodes.pause(RETRY_PAUSE_MS);
  }

  private async readBack(): Promise<void> {
    const until = performance.now() + READ_TIMEOUT_MS;
    while (performance.now() < until) {
      const startMs = performance.now();
      const exchange = await this.exchange("read", "read", false, { method: "GET", path: "/-/Config.Describe", headers: {}, body: "" });
      if (exchange.ending === "complete" && exchange.status === 200) {
        const { revision, routes } = JSON.parse(exchange.body) as { revision: number; routes: { name: string }[] };
        const mark = routes.map(({ name }) => name).find((name) => name.startsWith("mark-")) ?? "";
        this.seen.reads.push({ revision, mark: mark.slice("mark-".length), startMs, endMs: performance.now() });
        return;
      }
      await nodes.pause(RETRY_PAUSE_MS);
    }
  }

  check(): string | null {
    const newest = this.seen.reads[this.seen.reads.length - 1]?.revision;
    if (newest === undefined) return `no configuration was read back ${READ_TIMEOUT_MS / 1000} s after the end`;
    if (newest < this.confirmed) return `revision ${this.confirmed} was acknowledged, and ${newest} is read back`;
    return this.refusal;
  }
}

function replyOf({ ending, status }: soakConnection.Exchange): history.Sending["reply"] {
  if (ending === "complete" && status === 200) return "confirmed";
  return ending === "complete" && status >= 400 && status < 500 ? "refused" : "unclear";
}

/** Each order changes deadlines, the idle limit and the marked route. */
function documentOf(revision: number, mark: string): object {
  const deadline = revision % 3 === 0 ? soakAccount.SHORT_DEADLINE_MS : soakAccount.LONG_DEADLINE_MS;
  const route = (name: string, type: string, more: object = {}): object => ({
    name,
    hostname: "soak.example",
    path_prefix: `/${name}/`,
    route_type: type,
    deadline_ms: deadline,
    target_latency_ms: 800,
    target_gap_ms: 600,
    service: "model",
    max_attempts: 1,
    ...more,
  });
  return {
    revision,
    services: [{ name: "model", max_connections: 4000 }],
    limits: { header_timeout_ms: revision % 2 === 0 ? 1000 : 3000, idle_timeout_ms: revision % 2 === 0 ? 1000 : 15_000 },
    routes: [
      route("lookup", "read_only", { max_attempts: 2 }),
      route("stream", "streaming", { max_attempts: 2, resumable: true }),
      route("once", "mutating"),
      route(`mark-${mark}`, "read_only"),
    ],
  };
}

/** One line of figures for each kind of exchange. */
export function summaryOf({ entries }: soakAccount.Account, operator: OrderClient, total: number | null): string {
  const lines: string[] = [];
  for (const kind of ["request", "add", "order"] as const) {
    const outcomes = new Map<string, number>();
    for (const { kind: other, exchange } of entries) {
      if (other !== kind) continue;
      const outcome = exchange.ending === "complete" ? String(exchange.status) : exchange.ending;
      outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
    }
    const figures = [...outcomes].sort(([left], [right]) => (left < right ? -1 : 1)).map(([outcome, count]) => `${outcome}: ${count}`);
    lines.push(`  ${kind}s: ${figures.join(", ")}`);
  }
  return `${lines.join("\n")}\n  ${operator.confirmed} orders confirmed, total of the adds ${total ?? "not told"}`;
}
