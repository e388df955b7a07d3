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
