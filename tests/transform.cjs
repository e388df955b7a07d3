// TypeScript and ES modules to what jest loads.
const esbuild = require("esbuild");
module.exports = {
  process(text, file) {
    const loader = file.endsWith(".ts") ? "ts" : "js";
    const out = esbuild.transformSync(text, { loader, format: "cjs", target: "node20", sourcemap: "inline", sourcefile: file });
    return { code: out.code, map: out.map || null };
  },
};
