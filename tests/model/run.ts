// `npm run model -- --seeds 10000`: plays one history for each seed, with a progress line; ends with 1 if any fails.
// `--of quotas` and `--of keys` play days of tenants, `--of tallies` histories of tallies, `--of duties` of the duties at the platform, instead of those of the register.
import * as commander from "commander";
import * as dutyHistory from "../duties/history.js";
import * as keyLeaseDays from "../sim/key-lease-days.js";
import * as quotaDays from "../sim/quota-days.js";
import type * as quotas from "../sim/quotas.js";
import * as tallyGuards from "../support/tally-guards.js";
import * as tallyStorm from "../support/tally-storm.js";
import * as check from "./check.js";
import type * as mutations from "./mutations.js";

interface Options {
  seeds: string;
  from: string;
  guard: string;
  most: string;
  whole?: boolean;
  of: string;
}

const PROGRESS_EVERY = 50;

/** Null where the seed's history is right, else what is wrong with it. */
type PlaySeed = (seed: number, options: Options) => Promise<string | null>;

async function playQuotas(seed: number, options: Options): Promise<string | null> {
  const sim = await quotaDays.storm({ seed, seconds: 40, broken: options.guard as quotas.Broken });
  for (const [tenant, limit] of quotaDays.LIMITS) {
    const excess = quotaDays.over(sim, tenant, limit);
    if (excess > 0) return `seed ${seed}: a window of tenant ${tenant} saw ${excess} requests more than its bound`;
  }
  return null;
}

function playKeys(seed: number, options: Options): Promise<string | null> {
  const excessMs = keyLeaseDays.worst(seed, options.guard === "ask_time");
  return Promise.resolve(excessMs > 0 ? `seed ${seed}: a key was honoured ${excessMs} ms past the bound` : null);
}

async function playRegister(seed: number, options: Options): Promise<string | null> {
  const guard = options.guard as mutations.Guard;
  const failure = await check.checkSeed(seed, guard, !options.whole);
  if (!failure || (guard !== "none" && (await check.playScenario(failure.scenario, "none")) !== null)) return null;
  return describe(failure);
}

/** Three, four and five nodes in turn. */
async function playTallies(seed: number, options: Options): Promise<string | null> {
  const guard = options.guard as tallyGuards.Guard;
  const storm = new tallyStorm.TallyStorm({ seed, nodes: 3 + (seed % 3), weak: tallyGuards.weaknessOf(guard) });
  const faults = await tallyGuards.without(guard, () => storm.play());
  return faults.length > 0 ? `seed ${seed}: ${faults[0]} (${faults.length} in all)` : null;
}

async function playDuties(seed: number, options: Options): Promise<string | null> {
  const verdict = await new dutyHistory.DutyHistory(seed, options.guard as dutyHistory.Guard).play();
  return verdict && `seed ${seed}: ${verdict}`;
}

const PLAYS = new Map<string, PlaySeed>([
  ["register", playRegister],
  ["quotas", playQuotas],
  ["keys", playKeys],
  ["tallies", playTallies],
  ["duties", playDuties],
]);

function describe(failure: check.Failure): string {
  return `seed ${failure.seed} path ${failure.path}: ${failure.verdict}\n${JSON.stringify(failure.scenario)}`;
}

async function run(options: Options): Promise<number> {
  const first = Number(options.from);
  const count = Number(options.seeds);
  const play = PLAYS.get(options.of);
  if (!play) throw new Error(`--of ${options.of} is not known; use one of ${[...PLAYS.keys()].join(", ")}`);
  const startMs = performance.now();
  let failures = 0;
  for (let played = 0; played < count && failures < Number(options.most); played += 1) {
    const failure = await play(first + played, options);
    if (failure !== null) {
      failures += 1;
      process.stdout.write(`\n${failure}\n`);
    }
    const isLast = played + 1 === count;
    if ((played + 1) % PROGRESS_EVERY > 0 && !isLast) continue;
    const seconds = Math.round((performance.now() - startMs) / 1000);
    process.stdout.write(`${played + 1} of ${count} histories (from seed ${first}), ${failures} failed, ${seconds} s\n`);
  }
  return failures;
}

const program = new commander.Command("model")
  .description("Random histories of the register, each of one seed, checked for linearizability and progress")
  .option("--seeds <count>", "how many histories", "1000")
  .option("--from <seed>", "the first seed", "1")
  .option("--of <part>", "what to play: register, quotas, keys, tallies or duties", "register")
  .option("--guard <name>", "the guard to take out, none by default", "none")
  .option("--most <failures>", "stop after so many failures", "1")
  .option("--whole", "print failing histories as drawn, without making them smaller");
program.parse();
process.exitCode = (await run(program.opts<Options>())) > 0 ? 1 : 0;
