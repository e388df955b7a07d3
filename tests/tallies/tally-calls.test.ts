// What the calls on tallies answer, as docs/tallies.md says it.
import * as tallyCalls from "../../src/tallies/tally-calls.js";
import * as serve from "../../src/wire/serve.js";
import type * as replicatedCounters from "../../src/tallies/replicated-counters.js";

interface Asked {
  method: string;
  path: string;
  body?: string;
}

function answer(
  asked: Asked,
  added: replicatedCounters.AddOutcome = "added",
  total: number | null = 7,
): ReturnType<tallyCalls.TallyCalls["reply"]> {
  const calls = new tallyCalls.TallyCalls({
    add: () => Promise.resolve(added),
    total: () => Promise.resolve(total),
    totals: () =>
      Promise.resolve(
        total === null
          ? null
          : new Map([
              ["b", total],
              ["a", 1],
            ]),
      ),
  });
  const { method, path, body = "" } = asked;
  return calls.reply({ method, path, query: new URLSearchParams(), headers: {}, body: Buffer.from(body), caller: serve.LOCAL_CALLER });
}

const UPDATE = { method: "POST", path: "/-/Tallies.Update/t%203" };
const GOOD = '{"instance_id":"5c0e","actor":4}';

test.each<[replicatedCounters.AddOutcome, number, string | undefined]>([
  ["added", 200, undefined],
  ["conflict", 409, undefined],
  ["busy", 503, "0.3"],
  ["full", 429, "5"],
  ["unknown", 504, undefined],
])("an add that is %s gets %d", async (added, status, retryAfter) => {
  const told = await answer({ ...UPDATE, body: GOOD }, added);
  expect([told.status, told.headers?.["Retry-After"]]).toEqual([status, retryAfter]);
});

test.each([
  ["no JSON", "{"],
  ["no object", "[]"],
  ["no id", '{"actor":4}'],
  ["an empty id", '{"instance_id":"","actor":4}'],
  ["an id with a line end", '{"instance_id":"a\\nb","actor":4}'],
  ["a long id", `{"instance_id":"${"a".repeat(201)}","actor":4}`],
  ["no amount", '{"instance_id":"a"}'],
  ["a fraction", '{"instance_id":"a","actor":1.5}'],
  ["a text", '{"instance_id":"a","actor":"4"}'],
  ["an amount out of bounds", '{"instance_id":"a","actor":1e15}'],
])("a body with %s gets 400 with the remedy", async (_what, body) => {
  const told = await answer({ ...UPDATE, body });
  expect([told.status, (told.json as { message: string }).message]).toEqual([400, expect.stringMatching(/; send /)]);
});

test.each(["", "%E0%A4%A", "a%0Ab", "a".repeat(201)])("the name %j gets 400", async (name) => {
  expect((await answer({ method: "GET", path: `/-/Tallies.Describe/${name}` })).status).toBe(400);
  expect((await answer({ method: "POST", path: `/-/Tallies.Update/${name}`, body: GOOD })).status).toBe(400);
});

test("totals are told, or 503 while they are not known", async () => {
  expect(await answer({ method: "GET", path: "/-/Tallies.Describe/t3" })).toEqual({ status: 200, json: { total: 7 } });
  const list = { method: "GET", path: "/-/Tallies.List" };
  expect((await answer(list)).json).toEqual({
    tallies: [
      { tally: "a", total: 1 },
      { tally: "b", total: 7 },
    ],
  });
  for (const asked of [list, { method: "GET", path: "/-/Tallies.Describe/t3" }])
    expect((await answer(asked, "added", null)).status).toBe(503);
  expect((await answer({ method: "GET", path: UPDATE.path })).status).toBe(404);
});
