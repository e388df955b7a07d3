// Pages name only files that are there.
import * as fs from "node:fs";

const DESIGN_FOLDERS = ["docs/design", "docs/design/hardening"];
const PAGES = [
  "README.md",
  "docs/architecture.md",
  "docs/glossary.md",
  "docs/operating.md",
  ...DESIGN_FOLDERS.flatMap((folder) => fs.readdirSync(folder).flatMap((name) => (name.endsWith(".md") ? [`${folder}/${name}`] : []))),
];

describe.each(PAGES)("%s", (page) => {
  test("names only files and folders of the sources that exist", () => {
    const named = fs.readFileSync(page, "utf8").match(/\bsrc\/[\w./-]*\w/g) ?? [];
    expect(named.filter((name) => !fs.existsSync(name))).toEqual([]);
  });
});

test("the pages that lead into the sources name files", () => {
  for (const page of ["README.md", "docs/architecture.md", "docs/glossary.md"]) {
    const named = fs.readFileSync(page, "utf8").match(/\b(?:src|tests|docs|deploy|examples)\/[\w./-]*\w/g) ?? [];
    expect(named.length).toBeGreaterThan(10);
    expect(named.filter((name) => !fs.existsSync(name))).toEqual([]);
  }
});
