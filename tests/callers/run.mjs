// Starts the histories of callers in memory: the library's connector is replaced, and log lines are left out.
import * as path from "node:path";
import * as bundle from "../bundle.mjs";

const folder = import.meta.dirname;

const inMemory = {
  name: "in-memory",
  setup(build) {
    build.onResolve({ filter: /core\/connect\.js$/ }, function replace() {
      return { path: path.join(folder, "memory-connect.ts") };
    });
    build.onResolve({ filter: /startup\/log\.js$/ }, function quiet() {
      return { path: path.join(folder, "../model/quiet-log.ts") };
    });
  },
};

await bundle.bundleAndRun(path.join(folder, "run.ts"), "callers", [inMemory]);
