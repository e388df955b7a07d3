// One rude client sends a body within max_body_bytes one byte at a time: the router keeps an object for each byte, and its process
// ends for lack of memory. Two routers, three times each; the script is the platform that starts a process again after its end.
import * as fs from "node:fs";
import * as path from "node:path";
import { RawClient, System, isTroubled, limits, pause, request, runCase, serviceOf, until } from "../lib-2/system.mjs";

const ROUTERS = [0, 1];
const ROUNDS = 3;
/** Under max_body_bytes (4,194,304). */
const BODY_BYTES = 4_000_000;
const BYTES_A_WRITE = 5000;
/** As the longest of examples/first.json. */
const DEADLINE_MS = 20_000;
const RESTART_DELAY_MS = 500;
/** Ordinary clients: one request every so often, at each router. */
const CLIENT_INTERVAL_MS = 200;

const configuration = {
  revision: 1,
  routes: [
    {
      name: "check",
      hostname: "case.example",
      path_prefix: "/check/",
      route_type: "mutating",
      deadline_ms: DEADLINE_MS,
      target_latency_ms: 1000,
      priority: 1,
      service: "pool",
      max_attempts: 1,
    },
  ],
  services: [serviceOf("pool")],
  limits,
};

async function check({ request: { id, body }, response, head }) {
  await pause(1000);
  response.writeHead(200, head).end(`checked ${id}, ${body.length} bytes`);
}

/** The platform's side of one router: its process is started again whenever it has ended. */
class Machine {
  ends = [];
  isOver = false;
  isRunning = true;

  constructor(system, index, record) {
    Object.assign(this, { system, index, record });
    void this.watch();
  }

  async watch() {
    while (!this.isOver) {
      const ended = await this.system.nodes.get(`router-${this.index}`).ended;
      if (this.isOver) return;
      this.isRunning = false;
      this.ends.push(ended);
      this.record.add(`router-${this.index} has ended by itself, end ${this.ends.length}: ${JSON.stringify(ended)}`);
      await pause(RESTART_DELAY_MS);
      if (this.isOver) return;
      this.system.startNode("router", this.index);
      this.isRunning = true;
    }
  }
}

/** An ordinary client at each router, until `state.isOver`; what it sends is kept. */
async function askOn(system, index, state) {
  for (let turn = 0; !state.isOver; turn += 1) {
    const id = `o${index}-${turn}`;
    const client = new RawClient(system.front(index));
    state.asked.push({ id, client });
    client.write(request("POST", "/check/small", id, DEADLINE_MS, "small"));
    await pause(CLIENT_INTERVAL_MS);
  }
}

/** The rude peer: a body in chunks of one byte (in TROUBLE=0: the same bytes, in chunks of many). */
async function sendBody(system, index, round) {
  const client = new RawClient(system.front(index));
  const head = request("POST", "/check/large", `rude${index}-${round}`, DEADLINE_MS).replace(
    "Content-Length: 0",
    "Transfer-Encoding: chunked",
  );
  client.write(head);
  const many = `${BYTES_A_WRITE.toString(16)}\r\n${"x".repeat(BYTES_A_WRITE)}\r\n`;
  const block = Buffer.from(isTroubled ? "1\r\nx\r\n".repeat(BYTES_A_WRITE) : many);
  let sent = 0;
  for (; sent < BODY_BYTES && client.closedAt === null; sent += BYTES_A_WRITE) {
    if (!client.socket.write(block)) await Promise.race([new Promise((resolve) => client.socket.once("drain", resolve)), client.closed]);
  }
  if (client.closedAt === null) client.write("0\r\n\r\n");
  await Promise.race([client.closed, until("an answer", () => client.received.length > 0, DEADLINE_MS)]);
  const answer = client.received.length > 0 ? client.text.slice(9, 12) : "connection closed";
  client.socket.destroy();
  return `${answer} after ${sent} bytes`;
}

await runCase(import.meta.dirname, async function play(record, hold) {
  const system = hold(new System({ routers: ROUTERS }));
  await system.prepare();
  for (let index = 0; index < 6; index += 1) await system.addRunner(index % 3, { service: "pool", work: check });
  await system.start();
  await system.configure(configuration);
  await system.untilReady();
  await system.untilInTouch();

  const machines = ROUTERS.map((index) => new Machine(system, index, record));
  const state = { isOver: false, asked: [] };
  for (const index of ROUTERS) void askOn(system, index, state);
  for (let round = 1; round <= ROUNDS; round += 1) {
    await until("the routers run", () => machines.every(({ isRunning }) => isRunning));
    await system.untilReady();
    const what = isTroubled ? "one byte at a time" : `${BYTES_A_WRITE} bytes at a time`;
    record.add(`round ${round}: one client at each router sends a body of ${BODY_BYTES} bytes, ${what}`);
    const answers = await Promise.all(ROUTERS.map((index) => sendBody(system, index, round)));
    for (const [at, index] of ROUTERS.entries()) record.add(`round ${round}, router-${index}: ${answers[at]}`);
    await pause(500);
  }
  state.isOver = true;
  await pause(1500);

  for (const machine of machines) {
    machine.isOver = true;
    record.add(`router-${machine.index}: ${machine.ends.length} ends of its own`);
    const log = fs.readFileSync(path.join(system.folder, `router-${machine.index}.log`), "utf8");
    const cause = log.split("\n").find((line) => line.startsWith("FATAL ERROR"));
    if (cause) record.add(`router-${machine.index}: ${cause}`);
  }
  const runs = new Set(system.runners.flatMap((runner) => runner.runs.map(({ id }) => id)));
  const lost = state.asked.filter(({ id, client }) => runs.has(id) && !client.text.includes(`checked ${id}`));
  record.add(
    `ordinary requests: ${state.asked.length} sent, ${lost.length} ran and were never answered (${lost.map(({ id }) => id).join(" ")})`,
  );
  for (const { client } of state.asked) client.socket.destroy();
  const isBroken = machines.every(({ ends }) => ends.length >= ROUNDS);
  return isBroken ? [`Fault: processes of ${machines.length} machines ended by themselves ${ROUNDS} times`] : [];
});
