// Keys and quotas at a router over real sockets: who is let in, what the runner sees, and what becomes of units.
import * as net from "node:net";
import type * as controlNode from "../../src/feed/control-node.js";
import * as tenantGate from "../../src/router/tenant-gate.js";
import * as digests from "../../src/tenants/digest.js";
import * as tenant from "../../src/tenants/tenant.js";
import type * as tenantSchema from "../../src/wire/tenant-schema.js";
import * as types from "../../src/wire/types.js";
import * as timers from "../../src/runtime/timers.js";
import * as routerEdge from "../sim/router-edge.js";

/** One owner, whose replies a test decides. */
class FakeOwner {
  isGranting = true;
  units = Infinity;
  epoch = 1;
  readonly unused: number[] = [];
  readonly controls = new Map<string, controlNode.ControlNode>();

  constructor() {
    const node = { life: "life", region: "r" };
    const call = (_pair: unknown, ask: tenantSchema.QuotaRequest): Promise<tenantSchema.QuotaReply> => this.answer(ask);
    this.controls.set("a", { address: "a", node, link: { isOpen: true, call }, roundTripMs: 1 } as unknown as controlNode.ControlNode);
  }

  /** Until it is opened, the units are counted and the replies are on their way. */
  readonly gate = { isOpen: true, open: (): void => undefined };

  hold(): void {
    this.gate.isOpen = false;
  }

  private async answer(ask: tenantSchema.QuotaRequest): Promise<tenantSchema.QuotaReply> {
    const reply = this.reply(ask);
    if (this.gate.isOpen) return reply;
    await new Promise<void>((resolve) => (this.gate.open = resolve));
    this.gate.isOpen = true;
    return reply;
  }

  private reply(ask: tenantSchema.QuotaRequest): tenantSchema.QuotaReply {
    const given = ask.takings.map(({ wanted, unused }) => {
      this.unused.push(...unused);
      const amount = Math.min(wanted, this.units);
      this.units -= amount;
      return { amount, id: 7, waitMs: amount < wanted ? 900 : 0 };
    });
    return { isGranting: this.isGranting, isConfirmed: true, epoch: types.small(this.epoch), given: this.isGranting ? given : [] };
  }
}

const clock = new timers.SystemClock();
let owner: FakeOwner;
let tenancy: tenantGate.TenantGate;
let edge: routerEdge.Edge;

function tenantOf(name: string, key: string, isLimited: boolean, homes: string[] = []): tenant.Tenant {
  return { name, keys: [digests.digestOf(key)], priority: null, isLimited, homes };
}

beforeEach(async () => {
  owner = new FakeOwner();
  tenancy = new tenantGate.TenantGate(clock, "r", owner.controls, { revocation_strict: true, revoke_delay_ms: 5000 });
  const table = new tenant.TenantTable();
  table.amend(
    [tenantOf("yard", "k-yard", true), tenantOf("school", "k-school", false), tenantOf("far", "k-far", false, ["elsewhere"])],
    [],
  );
  tenancy.applyConfiguration(types.small(1), table);
  edge = await routerEdge.Edge.start(clock, [{}], tenancy);
  await new Promise(setImmediate);
});

afterEach(() => edge.stop());

interface Answer {
  status: number;
  retryAfterS: number | null;
}

let ids = 0;
async function ask(key: string | null, path = "/once/x"): Promise<Answer> {
  ids += 1;
  const headers = `Host: h\r\nX-Cranewind-Request-Id: t${ids}\r\nX-Cranewind-Tenant: forged\r\n${key === null ? "" : `Api-Key: ${key}\r\n`}`;
  const text = await edge.send(`POST ${path} HTTP/1.1\r\n${headers}Content-Length: 2\r\nConnection: close\r\n\r\nhi`);
  const retryAfter = /\r\nretry-after: ([^\r]*)/i.exec(text);
  return { status: Number(text.split(" ")[1]), retryAfterS: retryAfter ? Number(retryAfter[1]) : null };
}

test("the runner sees the tenant of the key, and never the key", async () => {
  expect((await ask("k-school")).status).toBe(200);
  const [seen] = edge.runners[0].receivedRequests;
  expect(seen.headers["x-cranewind-tenant"]).toBe("school");
  expect(JSON.stringify(seen.headers)).not.toContain("k-school");
});

test.each<[string, string | null]>([
  ["no key", null],
  ["an unknown key", "k-other"],
  ["an empty key", ""],
  ["the name of a tenant", "school"],
])("%s gets 401 and reaches no runner", async (_name, key) => {
  expect((await ask(key)).status).toBe(401);
  expect(edge.runners[0].receivedRequests).toEqual([]);
});

test("a public route needs no key, and no tenant is named to the runner", async () => {
  expect((await ask(null, "/open/x")).status).toBe(200);
  expect(edge.runners[0].receivedRequests[0].headers["x-cranewind-tenant"]).toBeUndefined();
});

test("a router that knows of a newer configuration answers unknown keys with 503 and a time", async () => {
  owner.epoch = 2;
  await ask("k-yard");
  const told = await ask("k-other");
  expect(told.status).toBe(503);
  expect(told.retryAfterS).toBeGreaterThan(0);
  expect((await ask("k-school")).status).toBe(200);
});

test("over its quota a tenant gets 429 with the owner's time; others go on", async () => {
  owner.units = 1;
  expect((await ask("k-yard")).status).toBe(200);
  const told = await ask("k-yard");
  expect(told.status).toBe(429);
  expect(told.retryAfterS).toBeCloseTo(0.9, 0);
  expect((await ask("k-school")).status).toBe(200);
  expect(edge.runners[0].receivedRequests).toHaveLength(2);
});

test("without an owner that grants, a tenant with a limit gets 503, one without goes on", async () => {
  owner.isGranting = false;
  expect((await ask("k-yard")).status).toBe(503);
  expect((await ask("k-school")).status).toBe(200);
});

test("homes of the tenant bind: none of its regions has a runner", async () => {
  expect((await ask("k-far")).status).toBe(503);
  expect(edge.runners[0].receivedRequests).toEqual([]);
});

test("a unit whose request was refused before any runner was chosen serves the tenant's next one", async () => {
  owner.units = 1;
  edge.fleet.applyChanges([], [edge.runners[0].id]);
  expect((await ask("k-yard")).status).toBe(503);
  expect(owner.units).toBe(0);
  let admitted: tenantGate.QuotaUnit = null;
  tenancy.acquireQuota(tenantOf("yard", "k-yard", true), (unit) => (admitted = unit), () => undefined); // prettier-ignore
  expect(admitted).toMatchObject({ id: 7 });
});

test("a client that leaves while its request waits for a unit: nothing runs, and the unit serves the tenant's next one", async () => {
  owner.units = 1;
  owner.hold();
  const client = net.connect(edge.server.port, "127.0.0.1");
  client.write("POST /once/x HTTP/1.1\r\nHost: h\r\nX-Cranewind-Request-Id: left\r\nApi-Key: k-yard\r\nContent-Length: 2\r\n\r\nhi");
  while (owner.units > 0) await new Promise(setImmediate);
  const left = new Promise((resolve) => client.once("close", resolve));
  client.destroy();
  await left;
  for (let turn = 0; turn < 20; turn += 1) await new Promise(setImmediate);
  owner.gate.open();
  expect((await ask("k-yard")).status).toBe(200);
  expect(edge.runners[0].receivedRequests.map((seen) => seen.headers["x-cranewind-request-id"])).toEqual([`t${ids}`]);
});
