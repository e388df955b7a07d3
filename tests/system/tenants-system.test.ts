// Tenants in a whole system over real loopback sockets and disks: keys, limits, a key taken away, the command (design/tenants).
import * as fs from "node:fs";
import * as nodeHttp from "node:http";
import * as os from "node:os";
import * as path from "node:path";
import * as client from "../../src/cli/client.js";
import * as tenants from "../../src/cli/tenants.js";
import * as controlProgram from "../../src/control/control-program.js";
import * as routerProgram from "../../src/router/router-program.js";
import type * as platformEmulator from "../../src/emulator/platform-emulator.js";
import type * as runnerEmulator from "../../src/emulator/runner-emulator.js";
import * as timers from "../../src/runtime/timers.js";
import * as loopback from "../sim/loopback.js";

const NET = `127.${20 + (process.pid % 200)}`;
const clock = new timers.SystemClock();
const FIRST = JSON.parse(fs.readFileSync("examples/first.json", "utf8")) as object;
const TENANTS = [
  { name: "yard", api_keys: ["key-yard-1", "key-yard-2"], rate_per_s: 2, burst: 3 },
  { name: "school", api_keys: ["key-school"] },
];

let folder: string;
let platform: platformEmulator.PlatformEmulator;
let runner: runnerEmulator.RunnerEmulator;
let controls: controlProgram.ControlProgram[];
let edge: routerProgram.RouterProgram;

function system(): loopback.Loopback {
  const ports = { control: 9401, directory: 9402, internal: "9501,9515", frontend: 9601, readiness: 9602 };
  const extra = ["bounds.quota_tolerance=5", "bounds.revocation_strict=true", "bounds.revoke_delay_ms=5000"];
  return { net: NET, ports, platform: platform.address, extra };
}

const ADDRESSES = [0, 1, 2].map((index) => `${NET}.${index + 1}.1:9401`);

beforeAll(async () => {
  folder = fs.mkdtempSync(path.join(os.tmpdir(), "cranewind-tenants-"));
  ({ platform, runner } = await loopback.startStandIns({ id: "i-1" }, 2));
  controls = [0, 1, 2].map(
    (index) =>
      new controlProgram.ControlProgram(clock, loopback.startupOf(system(), "control", index, path.join(folder, `disk-${index}`), true)),
  );
  for (const program of controls) await program.root.start();
  edge = new routerProgram.RouterProgram(clock, loopback.startupOf(system(), "router", 0, "", true));
  await edge.root.start();
});

afterAll(async () => {
  await edge.stop();
  for (const program of controls) await program.stop();
  runner.stop();
  platform.stop();
  fs.rmSync(folder, { recursive: true });
});

async function send(verb: string, base: number, body: object): Promise<boolean> {
  const headers = { "Content-Type": "application/json", "X-Cranewind-Base-Version": String(base) };
  const outcome = await client.send(clock, ADDRESSES, {
    method: "POST",
    path: `/-/Config.${verb}`,
    headers,
    body: Buffer.from(JSON.stringify(body)),
  });
  return outcome.isOk;
}

let ids = 0;
function ask(key: string): Promise<number> {
  ids += 1;
  const headers = { Host: "try.example", "Api-Key": key, "X-Cranewind-Request-Id": `q${ids}`, "X-Cranewind-Time-Budget-Ms": "2000" };
  return new Promise((resolve, reject) => {
    nodeHttp
      .request({ host: `${NET}.1.2`, port: 9601, method: "POST", path: "/lookup/x", agent: false, headers }, (reply) => {
        reply.resume();
        reply.on("end", () => resolve(reply.statusCode!));
      })
      .on("error", reject)
      .end();
  });
}

test("keys and limits hold from the acknowledgement on, and a key that is taken away stops", async () => {
  await loopback.until("the configuration is taken", () => send("Replace", 0, { ...FIRST, revision: 1, tenants: TENANTS }));
  await loopback.until("a tenant is served", async () => (await ask("key-school")) === 200);
  expect(await ask("key-other")).toBe(401);
  expect(runner.receivedRequests.at(-1)!.headers["x-cranewind-tenant"]).toBe("school");

  await loopback.until("an owner has a unit", async () => (await ask("key-yard-1")) === 200);
  const statuses = await Promise.all(Array.from({ length: 40 }, () => ask("key-yard-1")));
  const served = statuses.filter((status) => status === 200).length;
  // (2 x 5 s + 3) + 5 of tolerance within the window; what is refused gets 429.
  expect(served).toBeLessThanOrEqual(18);
  expect(statuses.filter((status) => status === 429)).toHaveLength(40 - served);

  const printed: string[] = [];
  const output = { line: (text: string) => printed.push(text), failure: (text: string) => printed.push(text) };
  expect(await tenants.tenants(clock, output, ADDRESSES, { isJson: false, isWatching: false })).toBe(0);
  expect(printed[0]).toMatch(/3 of 3 control nodes replied, 3 grant/);
  expect(printed.join("\n")).toMatch(/tenant {4}yard: .* of 2 \+ 3, denied/);
  expect(printed.join("\n")).not.toMatch(/key-/);

  expect(await send("Update", 1, { revision: 2, upsert: { tenants: [{ ...TENANTS[0], api_keys: ["key-yard-2"] }] } })).toBe(true);
  await loopback.until("the taken key stops", async () => (await ask("key-yard-1")) === 401);
  await loopback.until("the other key goes on", async () => (await ask("key-yard-2")) === 200);
  for (const program of controls) expect(JSON.stringify(program.status())).not.toMatch(/key-/);
});
