// Bounded exhaustive search: every order of messages, with losses, give-ups and one wipe, up to the bounds given.
import type * as bounds from "./exhaustive/bounds.js";
import type * as parts from "./exhaustive/parts.js";
import * as scope from "./exhaustive/scope.js";

const x = scope.order("x", 1);
const y = scope.order("y", 2);

function within(programs: bounds.Call[][], wipes: number): bounds.Bounds {
  return { programs, mostRounds: 1, wipes, mostStates: 50_000 };
}

test.each<[string, bounds.Bounds, number]>([
  ["two orders and one wipe", within([[x], [y]], 1), 12_894],
  ["a change of voters and an order", within([[scope.replace], [x]], 0), 6_531],
])(
  "no order of messages confirms two changes on one base: %s",
  function all(_name, limits, states) {
    expect(scope.run("none", limits)).toMatchObject({ violation: null, isWhole: true, states });
  },
  120_000,
);

test.each<[parts.Guard, number]>([
  ["forget_promise", 0],
  ["wipe_keeps_identity", 1],
  ["any_quorum", 0],
])(
  "the search shows that a guard is missing: %s",
  function guard(missing, wipes) {
    expect(scope.run(missing, within([[x], [y]], wipes)).violation).not.toBeNull();
  },
  120_000,
);
