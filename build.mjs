// One file out of all sources: a start then reads one file (design 12.1).
import * as esbuild from "esbuild";

await esbuild.build({
  entryPoints: ["src/cli/cranewind.ts"],
  outfile: "target/cranewind.js",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  minifySyntax: true,
  legalComments: "none",
});
