// What the bounded search plays: voters a, b, c and a joiner d that takes the place of a; two proposers.
import * as result from "true-myth/result";
import * as voterPolicy from "../../../src/control/voters/voter-policy.js";
import type * as registerStep from "../../../src/register/register-step.js";
import * as registerValue from "../../../src/register/register-value.js";
import * as errors from "../../../src/runtime/errors.js";
import type * as schema from "../../../src/wire/schema.js";
import type * as parts from "./parts.js";
import type * as bounds from "./bounds.js";
import * as search from "./search.js";

const DISKS = ["a", "b", "c", "d"];
/** Neither leaves nor joins. */
const TWINS: [string, string] = ["b", "c"];

function voterOf(disk: string): schema.Voter {
  return { disk, node: "", address: disk };
}

const first: schema.Value = { ...registerValue.initialValue([]), voters: ["a", "b", "c"].map(voterOf) };
const joiners = ["d", "b", "c"].map(voterOf);

/** A change on base 0, as an operator orders it. */
export function order(name: string, revision: number): bounds.Call {
  function step(read: schema.Value): registerStep.Outcome {
    if (registerValue.findOrder(read, 0, name) === "taken") return result.ok(read);
    if (read.revision !== 0) return result.err(new errors.RevisionConflictError("another revision", "read again"));
    return result.ok(registerValue.withConfig(read, revision, Buffer.alloc(0), name));
  }
  return { name, base: 0, step };
}

export const replace: bounds.Call = { name: "replace a by d", base: null, step: voterPolicy.enterJointStep(first, joiners) };

export function settle(missing: parts.Guard): bounds.Call {
  const joint = registerValue.withVoters(first, joiners);
  function settleAnything(read: schema.Value): registerStep.Outcome {
    return result.ok(registerValue.withoutFormerVoters(read));
  }
  return { name: "settle", base: null, step: missing === "settle_unchosen" ? settleAnything : voterPolicy.leaveJointStep(joint) };
}

export function run(missing: parts.Guard, within: bounds.Bounds): bounds.Found {
  return new search.Search(within, first, DISKS, TWINS, missing).run();
}
