// Pages name only files that are there.
import * as fs from "node:fs";

describe.each(["README.md", "docs/architecture.md", "docs/glossary.md"])("%s", (page) => {
  test("names only files and folders that exist", () => {
    const named = fs.readFileSync(page, "utf8").match(/\b(?:src|tests|docs|deploy|examples)\/[\w./-]*\w/g) ?? [];
    expect(named.length).toBeGreaterThan(10);
    expect(named.filter((name) => !fs.existsSync(name))).toEqual([]);
  });
});
