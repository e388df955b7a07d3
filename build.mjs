// Three files out of all sources: the launcher, what a role runs, and the commands (design 12.1).
import * as esbuild from "esbuild";

const common = {
  bundle: true,
  platform: "node",
  target: "node18",
  format: "cjs",
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: "none",
  external: ["vega", "vega-lite"],
  alias: { "node:http2": "./src/wire/no-http2.ts" },
};

await esbuild.build({ ...common, entryPoints: ["src/cli/cranewind.ts"], outfile: "target/cranewind.js" });
await esbuild.build({ ...common, entryPoints: ["src/cli/node.ts"], outfile: "target/roles.js" });
await esbuild.build({ ...common, entryPoints: ["src/cli/main.ts"], outfile: "target/commands.js" });
