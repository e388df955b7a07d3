// npm run processes -- cut | apart | upgrade --from PROGRAM [--stop-all]: runs of real processes on loopback, some half a minute each.
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as util from "node:util";
import * as log from "../../src/runtime/log.js";
import * as apartRun from "./apart-run.js";
import * as cutRun from "./cut-run.js";
import * as upgradeRun from "./upgrade-run.js";

const PROGRAM = path.resolve("target/cranewind.js");
const USAGE = "npm run processes -- cut | apart | upgrade --from PROGRAM [--stop-all]";

async function run(): Promise<boolean> {
  const { positionals, values } = util.parseArgs({
    allowPositionals: true,
    options: { from: { type: "string" }, "stop-all": { type: "boolean", default: false } },
  });
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "cranewind-processes-"));
  const [what] = positionals;
  const { from, "stop-all": isStopAll } = values;
  const options = from === undefined ? null : { folder, from: path.resolve(from), to: PROGRAM, isStopAll };
  const plays = new Map([
    ["cut", () => cutRun.run(folder, PROGRAM)],
    ["apart", () => apartRun.run(folder, PROGRAM)],
    ["upgrade", () => (options ? upgradeRun.run(options) : null)],
  ]);
  const isGood = await plays.get(what)?.();
  if (isGood === undefined || isGood === null) throw new Error(USAGE);
  console.log(isGood ? "passed" : `failed; logs of the processes: ${folder}`);
  if (isGood) fs.rmSync(folder, { recursive: true });
  return isGood;
}

void run().then(
  (isGood) => process.exit(isGood ? 0 : 1),
  (cause: Error) => {
    log.flushNow();
    console.error(cause.message);
    process.exit(1);
  },
);
