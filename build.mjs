// Three files out of all sources: the launcher, what a role runs, and the commands (design 12.1).
import * as esbuild from "esbuild";

/** A failed assertion reads the source from its line on: long lines would keep the process busy for seconds. */
const MAX_LINE_BYTES = 200;

const common = {
  bundle: true,
  platform: "node",
  target: "node18",
  format: "cjs",
  minifySyntax: true,
  minifyWhitespace: true,
  lineLimit: MAX_LINE_BYTES,
  legalComments: "none",
  external: ["vega", "vega-lite"],
  alias: { "node:http2": "./src/wire/no-http2.ts" },
};

await esbuild.build({ ...common, entryPoints: ["src/cli/cranewind.ts"], outfile: "target/cranewind.js" });
await esbuild.build({ ...common, entryPoints: ["src/cli/node.ts"], outfile: "target/roles.js" });
await esbuild.build({ ...common, entryPoints: ["src/cli/main.ts"], outfile: "target/commands.js" });
