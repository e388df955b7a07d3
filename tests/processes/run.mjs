// Bundles the runs of real processes and starts one.
import * as childProcess from "node:child_process";
import * as path from "node:path";
import * as esbuild from "esbuild";

const folder = import.meta.dirname;
const outfile = path.join(folder, "../../target/processes.mjs");

await esbuild.build({
  entryPoints: [path.join(folder, "run.ts")],
  outfile,
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  banner: { js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);' },
  logLevel: "error",
});
const run = childProcess.spawnSync(process.execPath, [outfile, ...process.argv.slice(2)], { stdio: "inherit" });
process.exit(run.status ?? 1);
