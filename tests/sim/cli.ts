// The built command line as a person runs it.
import * as childProcess from "node:child_process";

const PROGRAM = "target/cranewind.js";

export function run(...words: string[]): { code: number | null; out: string; lines: string[] } {
  const done = childProcess.spawnSync(process.execPath, [PROGRAM, ...words], {
    encoding: "utf8",
    env: { PATH: process.env["PATH"], CRANEWIND_NODE_FILE: "no-such-file" },
  });
  return { code: done.status, out: done.stdout, lines: done.stderr.split("\n").filter(Boolean) };
}
