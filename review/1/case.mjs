// An order that a stopped control node had not read is carried out when the node goes on, after newer orders were acknowledged.
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { System, call, configurationOf, isTroubled, main, pause } from "../lib/system.mjs";

const ZONE = "z0";
const STOPPED = 2;
const FREEZE_MS = 5000;
const CONTACT_MS = 5000;
const EVACUATE_MS = 5000;
const WATCH_MS = 8000;

const system = new System({ folder: path.dirname(fileURLToPath(import.meta.url)) });
let isSending = true;
let sent = 0;
let answered = 0;

/** A client of each router, in its own region, that asks again and again. */
async function ask(router) {
  for (let count = 0; isSending; count += 1) {
    const id = `c${router}-${count}`;
    sent += 1;
    const headers = { Host: "review.example", "X-Cranewind-Request-Id": id, "X-Cranewind-Time-Budget-Ms": "2000" };
    const answer = await call(system.front(router), { target: "/lookup/a", headers, timeoutMs: 2500 });
    if (answer?.status === 200) answered += 1;
    else system.record(`answer ${id} ${answer ? `${answer.status} ${answer.body}` : "none"}`);
    await pause(60);
  }
}

function runsInZone(from, to) {
  return system.runners
    .filter((runner) => runner.zone === ZONE)
    .flatMap((runner) => runner.begun)
    .filter(({ at }) => at >= from && at <= to).length;
}

async function mustTake(what, status) {
  if ((await status) !== 200) throw new Error(`${what} was not acknowledged`);
}

await main(system, async () => {
  await system.boot(configurationOf(1, [{ name: "lookup", path_prefix: "/lookup/" }]));
  const clients = [0, 1, 2].map(ask);
  await pause(6000);
  await mustTake("the first evacuation", system.evacuate("Start", ZONE, [0, 1]));
  await pause(7000);

  const frozenAt = Date.now();
  if (isTroubled) system.signal(STOPPED, "control", "SIGSTOP");
  // The operator's list still has the stopped node: it is asked first, and after a second of silence another one.
  await mustTake("taking the zone back", system.evacuate("Stop", ZONE, [STOPPED, 0, 1]));
  await pause(500);
  await mustTake("the second evacuation", system.evacuate("Start", ZONE, [0, 1]));
  const acknowledgedAt = Date.now();
  await pause(Math.max(0, frozenAt + FREEZE_MS - Date.now()));
  if (isTroubled) system.signal(STOPPED, "control", "SIGCONT");
  const goesOnAt = Date.now();

  // From here on all machines are in touch again, and the second evacuation is older than evacuate_ms.
  const from = Math.max(acknowledgedAt + EVACUATE_MS, goesOnAt + CONTACT_MS) + 1000;
  await pause(from + WATCH_MS - Date.now());
  const runs = runsInZone(from, Date.now());
  isSending = false;
  await Promise.all(clients);
  system.record(`${sent} requests sent, ${answered} answered with 200, ${runs} run in ${ZONE} while it was to be evacuated`);
  if (answered < sent / 2) throw new Error("less than half of the requests were served");
  return runs > 0
    ? `EVAC: ${runs} requests were run in ${ZONE}, ${from - acknowledgedAt} ms and more after its evacuation was acknowledged`
    : "";
});
