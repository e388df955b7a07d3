// Bundles a TypeScript program of the tests with its sources, runs it with this process's arguments, and ends as it ends.
import * as childProcess from "node:child_process";
import * as path from "node:path";
import * as esbuild from "esbuild";

const TARGET = path.join(import.meta.dirname, "../target");

/** `entry`: path of the program; `name`: of the bundle in the target folder; `plugins`: of the bundler. */
export async function bundleAndRun(entry, name, plugins = []) {
  const outfile = path.join(TARGET, `${name}.mjs`);
  await esbuild.build({
    entryPoints: [entry],
    outfile,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    banner: { js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);' },
    logLevel: "error",
    plugins,
  });
  const run = childProcess.spawnSync(process.execPath, [outfile, ...process.argv.slice(2)], { stdio: "inherit" });
  process.exit(run.status ?? 1);
}
