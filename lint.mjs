// House bounds that the compiler does not check: no file over 250 lines.
import * as fs from "node:fs";
import * as path from "node:path";

const MOST_LINES = 250;
let failed = false;

function walk(folder) {
  for (const entry of fs.readdirSync(folder, { withFileTypes: true })) {
    const full = path.join(folder, entry.name);
    if (entry.isDirectory()) walk(full);
    else if (/\.(ts|mjs|cjs)$/.test(entry.name)) checkFile(full);
  }
}

function checkFile(file) {
  const text = fs.readFileSync(file, "utf8");
  const count = text.split("\n").length - 1;
  if (count > MOST_LINES) {
    console.error(`${file}: ${count} lines; split it, the bound is ${MOST_LINES}`);
    failed = true;
  }
}

walk("src");
walk("tests");
process.exit(failed ? 1 : 0);
