// `npm run model -- --seeds 10000`: plays one history for each seed, with a progress line; ends with 1 if any fails.
import * as commander from "commander";
import * as checks from "./check.js";
import type * as mutations from "./mutations.js";

interface Options {
  seeds: string;
  from: string;
  guard: string;
  most: string;
  whole?: boolean;
}

const PROGRESS_EVERY = 50;

function report(failure: checks.Failure): void {
  process.stdout.write(`\nseed ${failure.seed} path ${failure.path}: ${failure.verdict}\n${JSON.stringify(failure.scenario)}\n`);
}

async function run(options: Options): Promise<number> {
  const first = Number(options.from);
  const count = Number(options.seeds);
  const guard = options.guard as mutations.Guard;
  const startMs = performance.now();
  let failures = 0;
  for (let played = 0; played < count && failures < Number(options.most); played += 1) {
    const failure = await checks.checkSeed(first + played, guard, !options.whole);
    if (failure && (guard === "none" || (await checks.playScenario(failure.scenario, "none")) === null)) {
      failures += 1;
      report(failure);
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
  .option("--guard <name>", "the guard to take out, none by default", "none")
  .option("--most <failures>", "stop after so many failures", "1")
  .option("--whole", "print failing histories as drawn, without making them smaller");
program.parse();
process.exitCode = (await run(program.opts<Options>())) > 0 ? 1 : 0;
