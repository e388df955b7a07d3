// One runner of six crashes while clients have two requests on their connections: the second one, which is not repeatable, has run
// at a sound runner, and its connection is closed without an answer.
import { RawClient, System, isTroubled, limits, pause, request, runCase, serviceOf } from "../lib-2/system.mjs";

const CLIENTS = 48;
const POOL_RUNNERS = 6;
const PIECES = 20;
const PIECE_INTERVAL_MS = 150;
const CARD_WORK_MS = 400;
/** The rule allows so many. */
const ALLOWED = 3;

const configuration = {
  revision: 1,
  routes: [
    {
      name: "report",
      hostname: "case.example",
      path_prefix: "/report/",
      route_type: "read_only",
      deadline_ms: 8000,
      target_latency_ms: 800,
      priority: 1,
      service: "pool",
      max_attempts: 2,
    },
    {
      name: "card",
      hostname: "case.example",
      path_prefix: "/card/",
      route_type: "mutating",
      deadline_ms: 8000,
      target_latency_ms: 800,
      priority: 1,
      service: "logbook",
      max_attempts: 1,
    },
  ],
  services: [serviceOf("pool"), serviceOf("logbook")],
  limits,
};

/** A long answer, piece by piece, in chunks. */
async function report({ request: { id }, response, head }) {
  response.writeHead(200, head);
  for (let piece = 0; piece < PIECES && !response.destroyed; piece += 1) {
    response.write(`line ${piece} of ${id}\n`);
    await pause(PIECE_INTERVAL_MS);
  }
  response.end(`end of ${id}\n`);
}

const confirmed = new Set();

async function card({ request: { id }, response, head }) {
  await pause(CARD_WORK_MS);
  response.writeHead(200, head).end(`card of ${id}`, () => confirmed.add(id));
}

await runCase(import.meta.dirname, async function play(record, hold) {
  const system = hold(new System({ routers: [0] }));
  await system.prepare();
  const pool = [];
  for (let index = 0; index < POOL_RUNNERS; index += 1) pool.push(await system.addRunner(0, { service: "pool", work: report }));
  const logbook = [];
  for (let index = 0; index < 2; index += 1) logbook.push(await system.addRunner(0, { service: "logbook", work: card }));
  await system.start();
  await system.configure(configuration);
  await system.untilReady();
  await system.untilInTouch();

  const clients = [];
  for (let index = 0; index < CLIENTS; index += 1) {
    const client = new RawClient(system.front(0));
    clients.push(client);
    client.write(request("GET", `/report/${index}`, `r${index}`, 8000));
    client.write(request("POST", `/card/${index}`, `c${index}`, 8000, "one card"));
    await pause(5);
  }
  record.add(`${CLIENTS} clients sent GET /report/N (id rN) and then POST /card/N (id cN) on one connection each`);
  await pause(1200);
  const busiest = pool.reduce((most, runner) => (runner.runs.length > most.runs.length ? runner : most));
  const hit = new Set(busiest.runs.map(({ id }) => id));
  for (const runner of [...pool, ...logbook])
    record.add(`${runner.id} (${runner.service}) runs ${runner.runs.map(({ id }) => id).join(" ")}`);
  if (isTroubled) {
    record.add(`${busiest.id}, one of ${POOL_RUNNERS} of its service, crashes`);
    busiest.crash();
  }
  await pause(PIECES * PIECE_INTERVAL_MS + 2000);

  const cardRuns = new Set(logbook.flatMap(({ runs }) => runs.map(({ id }) => id)));
  const lost = [];
  for (const [index, client] of clients.entries()) {
    const hasAnswer = client.text.includes(`card of c${index}`);
    const isClosed = client.closedAt !== null;
    record.add(
      `client ${index}: report ${client.text.includes(`end of r${index}`) ? "whole" : "cut"}${hit.has(`r${index}`) ? `, was at ${busiest.id}` : ""}; ` +
        `card ${cardRuns.has(`c${index}`) ? "ran" : "did not run"}${confirmed.has(`c${index}`) ? " and was answered by its runner" : ""}, ` +
        `${hasAnswer ? "answer received" : "no answer"}; connection ${isClosed ? "closed by the router" : "open"}`,
    );
    if (cardRuns.has(`c${index}`) && isClosed && !hasAnswer) lost.push(`c${index}`);
    client.socket.destroy();
  }
  record.add(`passed on to a sound runner and closed without an answer: ${lost.length} (${lost.join(" ")})`);
  return lost.length > ALLOWED ? [`LOST: ${lost.length} requests from kept connections, over ${ALLOWED}`] : [];
});
