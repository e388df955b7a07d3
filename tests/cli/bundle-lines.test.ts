// Guards against a failed assertion that keeps a process busy for seconds: the runtime reads its source line for the message (review 2).
import * as fs from "node:fs";

const MAX_LINE_CHARACTERS = 2000;

test.each(["target/roles.js", "target/commands.js", "target/cranewind.js"])("the lines of %s are short", (file) => {
  const longest = fs
    .readFileSync(file, "utf8")
    .split("\n")
    .reduce((most, line) => Math.max(most, line.length), 0);
  expect(longest).toBeLessThanOrEqual(MAX_LINE_CHARACTERS);
});
