// Which disks vote next (design 5).
import * as voterPolicy from "../../src/control/voters/voter-policy.js";
import * as registerValue from "../../src/register/register-value.js";

test("two learners join an odd set of voters at once, one alone waits, and an even set removes a silent voter", () => {
  const value = registerValue.initialValue(["a:1", "b:1", "c:1"]);
  const joiner = { disk: "d", node: "d", address: "d:1", isCounted: true, isReady: true };
  const other = { disk: "e", node: "e", address: "e:1", isCounted: true, isReady: true };
  const calm = (): number => 0;
  expect(voterPolicy.nextVoters(value, [joiner], calm)).toBeNull();
  expect(voterPolicy.nextVoters(value, [joiner, other], calm)).toHaveLength(5); // never by way of an even core
  expect(voterPolicy.nextVoters(value, [{ ...joiner, isCounted: false }, other], calm)).toBeNull();
  const even = { ...value, voters: [...value.voters, { disk: "d", node: "d", address: "d:1" }] };
  expect(voterPolicy.nextVoters(even, [other], calm)).toHaveLength(5);
  expect(voterPolicy.nextVoters(even, [], (voter) => (voter.disk === "d" ? 9000 : 0))).toHaveLength(3);
});
