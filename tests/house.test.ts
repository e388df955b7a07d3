// What the design asks of the sources as a whole (design 1.4).
import * as fs from "node:fs";
import * as path from "node:path";

function sources(folder: string): string[] {
  return fs.readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const full = path.join(folder, entry.name);
    return entry.isDirectory() ? sources(full) : [full];
  });
}

/** Commands for people may show the time a request took; nothing else may look at the time of day. */
const MAY_TELL_TIME = new Set(["src/cli/ask.ts"]);

test("only the steady clock decides anything", () => {
  const found = sources("src").filter((file) => !MAY_TELL_TIME.has(file) && /Date\.now|new Date\b/.test(fs.readFileSync(file, "utf8")));
  expect(found).toEqual([]);
});

test("chance comes in through the world", () => {
  const found = sources("src").filter((file) => file !== "src/wire/world.ts" && /Math\.random/.test(fs.readFileSync(file, "utf8")));
  expect(found).toEqual([]);
});
