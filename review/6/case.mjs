// A rude peer holds sixteen connections and sends requests with long paths, one after the other on each. The router looks each path
// up for hundreds of milliseconds, and answers no ordinary client in time meanwhile.
import { RawClient, System, isTroubled, limits, pause, request, runCase, serviceOf } from "../lib-2/system.mjs";

const RUDE_CONNECTIONS = 16;
const RUDE_MS = 6400;
/** The whole head stays below max_header_bytes (16,384). */
const PATH_BYTES = 16_000;
const CLIENTS = 40;
const CLIENT_INTERVAL_MS = 100;
const DEADLINE_MS = 1500;
/** The rule: no final answer half a second after the deadline, eight or more, over a quarter. */
const SLACK_MS = 500;
const MIN_LATE = 8;
const MAX_SHARE = 0.25;

const configuration = {
  revision: 1,
  routes: [
    {
      name: "card",
      hostname: "case.example",
      path_prefix: "/card/",
      route_type: "mutating",
      deadline_ms: DEADLINE_MS,
      target_latency_ms: 400,
      priority: 1,
      service: "logbook",
      max_attempts: 1,
    },
  ],
  services: [serviceOf("logbook")],
  limits,
};

async function card({ request: { id }, response, head }) {
  await pause(60);
  response.writeHead(200, head).end(`card of ${id}`);
}

/** One connection after the other, a request on each. */
async function beRude(system, number, state) {
  for (let turn = 0; !state.isOver; turn += 1) {
    const client = new RawClient(system.front(0));
    client.write(request("GET", "/".repeat(PATH_BYTES), `rude${number}-${turn}`, 5000));
    while (!state.isOver && client.received.length === 0 && client.closedAt === null) await pause(5);
    if (client.received.length > 0) state.answers.push(client.text.slice(9, 12));
    client.socket.destroy();
  }
}

/** An ordinary client: one request on a connection of its own. */
function ask(system, number) {
  const client = new RawClient(system.front(0));
  const asked = { number, client, sentAt: performance.now(), afterMs: null, status: "none" };
  client.socket.on("data", () => {
    if (asked.afterMs !== null || !client.text.includes("\r\n\r\n")) return;
    asked.afterMs = performance.now() - asked.sentAt;
    asked.status = client.text.slice(9, 12);
  });
  client.write(request("POST", `/card/${number}`, `o${number}`, DEADLINE_MS, "card"));
  return asked;
}

await runCase(import.meta.dirname, async function play(record, hold) {
  const system = hold(new System({ routers: [0] }));
  await system.prepare();
  for (let index = 0; index < 4; index += 1) await system.addRunner(0, { service: "logbook", work: card });
  await system.start();
  await system.configure(configuration);
  await system.untilReady();
  await system.untilInTouch();

  const state = { isOver: false, answers: [] };
  setTimeout(() => (state.isOver = true), RUDE_MS);
  if (isTroubled) {
    record.add(`a rude peer: ${RUDE_CONNECTIONS} connections, paths of ${PATH_BYTES} bytes`);
    for (let number = 0; number < RUDE_CONNECTIONS; number += 1) void beRude(system, number, state);
  }
  await pause(1000);
  const all = [];
  for (let number = 0; number < CLIENTS; number += 1) {
    all.push(ask(system, number));
    await pause(CLIENT_INTERVAL_MS);
  }
  await pause(DEADLINE_MS + SLACK_MS + 1500);
  for (const { number, afterMs, status, client } of all) {
    record.add(`ordinary client ${number}: ${afterMs === null ? "no answer" : `${status} after ${Math.round(afterMs)} ms`}`);
    client.socket.destroy();
  }
  const runs = system.runners.reduce((sum, runner) => sum + runner.runs.length, 0);
  const late = all.filter(({ afterMs }) => afterMs === null || afterMs > DEADLINE_MS + SLACK_MS);
  record.add(`${runs} requests ran; the rude peer got ${state.answers.length} answers (${[...new Set(state.answers)].join(" ")})`);
  record.add(`without a final answer ${SLACK_MS} ms after deadline_ms ${DEADLINE_MS}: ${late.length} of ${all.length}`);
  const isBroken = late.length >= MIN_LATE && late.length > MAX_SHARE * all.length;
  return isBroken ? [`CONFIG: ${late.length} of ${all.length} requests had no final answer ${SLACK_MS} ms after their deadline_ms`] : [];
});
