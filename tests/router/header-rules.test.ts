// The list of rules that decides each header on its way to a runner (design 7.7).
import * as headerRules from "../../src/router/header-rules.js";

/** What a client says of its connection; what runners work by is passed on all the same. */
const CONNECTION = "X-Gone, close, x-cranewind-model, X-Cranewind-Token-Usage, X-Cranewind-Prompt-Prefix, Last-Event-Id";

const HEADERS: [string, string, boolean][] = [
  ["Host", "h.example", true],
  ["X-Own", "1", true],
  ["Connection", CONNECTION, false],
  ["X-Gone", "1", false],
  ["X-Cranewind-Model", "m", true],
  ["X-Cranewind-Token-Usage", "5,6", true],
  ["Last-Event-Id", "4", true],
  ["X-Cranewind-Batch-Pass", "0123456789abcdef", false],
  ["X-Cranewind-Request-Priority", "0", false],
  ["Keep-Alive", "timeout=5", false],
  ["Transfer-Encoding", "chunked", false],
  ["Content-Length", "3", false],
  ["Expect", "100-continue", false],
  ["X-Cranewind-Target-Instance", "i-client", false],
  ["X-Cranewind-Request-Id", "r1", true],
  ["X-Cranewind-Prompt-Prefix", "a:1", true],
  ["Upgrade", "h2c", false],
  ["Api-Key", "k-secret", false],
  ["X-Cranewind-Tenant", "somebody-else", false],
];

test.each(HEADERS)("header %s: %s is forwarded: %s", (name, value, isKept) => {
  const raw = ["Connection", CONNECTION, name, value];
  const made = headerRules.buildRequestHeaders(raw, CONNECTION, { target: "i-1", budgetMs: 12, rank: 1, lastEventId: null, tenant: null });
  expect(made.includes(value) && made.includes(name)).toBe(isKept);
  expect(made[made.indexOf("X-Cranewind-Target-Instance") + 1]).toBe("i-1");
});

test.each([
  [0, "4"],
  [1, "5"],
  [3, "7"],
  [40, "9"],
])("a route of rank %s asks for priority %s, whatever the client asked", (rank, priority) => {
  const made = headerRules.buildRequestHeaders(["X-Cranewind-Request-Priority", "0"], undefined, {
    target: "i-1",
    budgetMs: 12,
    rank,
    lastEventId: null,
    tenant: null,
  });
  expect(made.filter((_item, index) => made[index - 1] === "X-Cranewind-Request-Priority")).toEqual([priority]);
});

test("the tenant is the key's, set once, whatever the client sent", () => {
  const raw = ["X-Cranewind-Tenant", "other", "x-cranewind-tenant", "third", "Api-Key", "k"];
  const made = headerRules.buildRequestHeaders(raw, undefined, { target: "i-1", budgetMs: 12, rank: 1, lastEventId: null, tenant: "own" });
  const values = made.filter((_item, index) => index % 2 === 1 && made[index - 1].toLowerCase() === "x-cranewind-tenant");
  expect(values).toEqual(["own"]);
  expect(made).not.toContain("k");
});
