// `node tests/callers/run.mjs --runs 1000000`: histories of callers in memory, with a progress line; ends with 1 if any fails.
import * as commander from "commander";
import * as fc from "fast-check";
import * as callerCases from "../sim/caller-cases.js";

const PROGRESS_EVERY = 50_000;
/** Errors are made by the thousand here; nobody reads where. */
Error.stackTraceLimit = 0;

interface Options {
  runs: string;
  seed: string;
}

async function run({ runs, seed }: Options): Promise<number> {
  const count = Number(runs);
  const startMs = performance.now();
  let played = 0;
  async function playOne(of: callerCases.Case): Promise<void> {
    await callerCases.play(of, callerCases.MEMORY);
    played += 1;
    if (played % PROGRESS_EVERY > 0 && played < count) return;
    process.stdout.write(`${played} of ${count} played, ${Math.round((performance.now() - startMs) / 1000)} s\n`);
  }
  const verdict = await fc.check(fc.asyncProperty(callerCases.CASE, playOne), { numRuns: count, seed: Number(seed) });
  process.stdout.write(
    verdict.failed ? `${fc.defaultReportMessage(verdict) ?? ""}\n` : `${count} histories from seed ${seed}: none failed\n`,
  );
  return verdict.failed ? 1 : 0;
}

const program = new commander.Command("callers")
  .option("--runs <count>", "histories", "10000")
  .option("--seed <number>", "of the first", "1");
program.parse();
void run(program.opts()).then((code) => process.exit(code));
