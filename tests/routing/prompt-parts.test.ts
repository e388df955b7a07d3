// Parts of a prompt, as the header names them (design 7.4).
import * as promptParts from "../../src/routing/prompt-parts.js";

test.each([
  ["5c1e:800,91bd:410,e44:250", ["5c1e", "91bd", "e44"]],
  ["", []],
  ["x", []],
  ["a:1,b:zz", ["a"]],
])("parts of %j", function parts(header, ids) {
  expect(promptParts.parsePromptParts(header).map((part) => part.id)).toEqual(ids);
});

// Guards against keys whose work grows with the square of the header (review, "Prompt parts"; design/edge 7.14).
test("the keys of a long row of parts are made in one pass over it, and no more of them than are told apart", () => {
  const stepsOf = (count: number): number => {
    const parts = Array.from({ length: count }, (_, index) => ({ id: `part-${index % 10}`, tokens: 1 }));
    const spy = jest.spyOn(Math, "imul");
    promptParts.prefixKeys(parts);
    const steps = spy.mock.calls.length;
    spy.mockRestore();
    return steps;
  };
  expect(stepsOf(2000)).toBe(2 * stepsOf(1000));

  const header = Array.from({ length: 1000 }, (_, index) => `${index}:2`).join(",");
  const parts = promptParts.parsePromptParts(header);
  expect([parts.length, parts[256].tokens]).toEqual([257, 2 * (1000 - 256)]);
  const other = promptParts.parsePromptParts(header.replace(",999:", ",998:"));
  expect(promptParts.prefixKeys(parts).at(-1)).not.toBe(promptParts.prefixKeys(other).at(-1));
});
