// Starts the model, with log lines left out.
import * as path from "node:path";
import * as bundle from "../bundle.mjs";

const folder = import.meta.dirname;

const quietLog = {
  name: "quiet-log",
  setup(build) {
    build.onResolve({ filter: /startup\/log\.js$/ }, function replace() {
      return { path: path.join(folder, "quiet-log.ts") };
    });
  },
};

await bundle.bundleAndRun(path.join(folder, "run.ts"), "model", [quietLog]);
