// Guards against documents that take far more to parse than to send (review 2, class of case 6; design/edge 7.14).
import * as configurationCheck from "../../src/config/configuration-check.js";
import * as jsonBounds from "../../src/runtime/json-bounds.js";

test.each([
  ["lists within lists", "[".repeat(100), "depth"],
  ["objects within objects", '{"a":'.repeat(100), "depth"],
  ["empty objects", `[${"{},".repeat(600_000)}1]`, "values"],
  ["numbers", `[${"1,".repeat(1_100_000)}1]`, "values"],
  ["brackets in a string", `["${"[{,".repeat(600_000)}\\"[["]`, null],
  ["an escaped backslash before the end of a string", `["\\\\",${"[".repeat(63)}`, null],
  ["a string without end", `["${"\\".repeat(101)}`, null],
  ["rows of short lists", `[${"[1],".repeat(1000)}[1]]`, null],
])("%s", (_what, text, excess) => {
  expect(jsonBounds.findExcess(Buffer.from(text))).toBe(excess);
});

test("an operator's document over a bound is refused by its bytes alone, with 413", () => {
  const parsed = configurationCheck.parseJson(Buffer.from("[".repeat(1_000_000)));
  expect(parsed.isErr && parsed.error.message).toBe("body: it is over the bound on its depth; send a smaller or a flatter document");
  expect(parsed.isErr && parsed.error.code).toBe("too_large");
});
