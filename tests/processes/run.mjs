// Starts the runs of real processes.
import * as path from "node:path";
import * as bundle from "../bundle.mjs";

await bundle.bundleAndRun(path.join(import.meta.dirname, "run.ts"), "processes");
