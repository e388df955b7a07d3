// What the design asks of the sources as a whole (design 1.4).
import * as fs from "node:fs";
import * as path from "node:path";

function sources(folder: string): string[] {
  return fs.readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const full = path.join(folder, entry.name);
    return entry.isDirectory() ? sources(full) : [full];
  });
}

/** Commands for people may show the time a request took, and windows of usage are those of the wall clock; nothing else may look at the time of day. */
const MAY_TELL_TIME = new Set(["src/cli/ask.ts", "src/runtime/wall-clock.ts"]);
/** Where the time of day is handed to the duties. */
const MAY_READ_WALL_CLOCK = ["src/control/control-parts.ts"];

test("only the steady clock decides anything", () => {
  const found = sources("src").filter((file) => !MAY_TELL_TIME.has(file) && /Date\.now|new Date\b/.test(fs.readFileSync(file, "utf8")));
  expect(found).toEqual([]);
});

test("the time of day goes to the usage reports alone", () => {
  const found = sources("src").filter((file) => /wall-clock\.js/.test(fs.readFileSync(file, "utf8")));
  expect(found).toEqual(MAY_READ_WALL_CLOCK);
});

test("chance comes in through the clock", () => {
  const found = sources("src").filter((file) => file !== "src/runtime/timers.ts" && /Math\.random/.test(fs.readFileSync(file, "utf8")));
  expect(found).toEqual([]);
});

/** Section numbers of a page: headings, and numbers of paragraphs and sentences in it. */
function sections(page: string): Set<string> {
  const text = fs.readFileSync(page, "utf8");
  const found = new Set<string>();
  for (const [, heading, paragraph] of text.matchAll(/^#+ (\d+(?:\.\d+)?)\.? |(?:^|[.;:)] |\*\*)(\d+\.\d+) (?=\S)/gm))
    found.add(heading ?? paragraph);
  return found;
}

test("comments cite sections of the design that are there, in one way", () => {
  const main = sections("docs/design.md");
  const wrong: string[] = [];
  let cited = 0;
  for (const file of [...sources("src"), ...sources("tests")].filter((name) => name.endsWith(".ts"))) {
    const comments = fs
      .readFileSync(file, "utf8")
      .split("\n")
      .filter((line) => /^\s*(\/\/|\/?\*)/.test(line))
      .join("\n");
    if (/docs\/design|design "|design members/.test(comments)) wrong.push(`${file}: cite it as design/PAGE N`);
    for (const [text, page, list] of comments.matchAll(/design(?:\/([a-z]+))? ((?:\d+(?:\.\d+)?(?:, | and )?)+)/g)) {
      const known = page ? sections(`docs/design/${page}.md`) : main;
      for (const number of list.match(/\d+(\.\d+)?/g)!) {
        cited += 1;
        if (!known.has(number)) wrong.push(`${file}: ${text.trim()}`);
      }
    }
  }
  expect(wrong).toEqual([]);
  expect(cited).toBeGreaterThan(100);
});
