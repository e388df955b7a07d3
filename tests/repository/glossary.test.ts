// The glossary names only what is there: each row's code stands in the file that the row gives.
import * as fs from "node:fs";

interface Row {
  term: string;
  names: string[];
  files: string[];
}

function quoted(cell: string): string[] {
  return [...cell.matchAll(/`([^`]+)`/g)].map(([, text]) => text);
}

function rows(): Row[] {
  const found: Row[] = [];
  for (const line of fs.readFileSync("docs/glossary.md", "utf8").split("\n")) {
    const cells = line.split("|").map((cell) => cell.trim());
    if (cells.length === 6 && cells[4].startsWith("`src/"))
      found.push({ term: cells[1], names: quoted(cells[3]), files: quoted(cells[4]) });
  }
  return found;
}

test("each term is there once", () => {
  const terms = rows().map((row) => row.term);
  expect(terms.length).toBeGreaterThan(60);
  expect(terms.filter((term, index) => terms.indexOf(term) !== index)).toEqual([]);
});

test("each row names code that stands in its file", () => {
  const wrong: string[] = [];
  for (const { term, names, files } of rows()) {
    const texts = files.map((file) => (fs.existsSync(file) ? fs.readFileSync(file, "utf8") : ""));
    if (names.length === 0 || texts.includes("")) wrong.push(`${term}: ${files.join(", ")}`);
    for (const name of names)
      if (!texts.some((text) => new RegExp(`\\b${name}\\b`).test(text))) wrong.push(`${term}: ${name} in ${files.join(", ")}`);
  }
  expect(wrong).toEqual([]);
});
