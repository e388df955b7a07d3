// Hashes identify one listed runner or none (design/usage 2.1).
import * as runnerHash from "../../src/hints/runner-hash.js";
import * as types from "../../src/wire/types.js";
import * as hints from "../sim/hints.js";

test.each([
  [
    "distinct",
    ["a", "b"],
    (id: string) => id.charCodeAt(0),
    [
      ["a", 97],
      ["b", 98],
    ],
  ],
  [
    "shared by two",
    ["a", "b", "c"],
    (id: string) => (id === "c" ? 9 : 7),
    [
      ["a", null],
      ["b", null],
      ["c", 9],
    ],
  ],
  ["listed twice", ["a", "a"], () => 7, [["a", 7]]],
] as const)("identifies runners by hashes that are %s", (_name, listed, hash, expected) => {
  const hashes = new runnerHash.RunnerHashes<types.RunnerId>(hash);
  hashes.replaceAll(hints.ids(...listed));
  for (const [id, expectedHash] of expected) {
    expect(hashes.hashOf(id)).toBe(expectedHash);
    if (expectedHash !== null) expect(hashes.idOf(expectedHash)).toBe(id);
  }
  if (expected.some(([, expectedHash]) => expectedHash === null)) expect(hashes.idOf(7)).toBeNull();
  hashes.replaceAll([]);
  expect(hashes.idOf(7)).toBeNull();
});
