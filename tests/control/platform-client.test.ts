// Decoding of the platform's endpoint list (design 4.4).
import * as platformClient from "../../src/control/platform/platform-client.js";
import * as watch from "../sim/watch.js";

test.each([
  [{ instance_id: 7 }, null],
  [null, null],
  [{}, null],
  [watch.listed(1, { state: "draining", remaining_ms: 1500 })[0], { isDraining: true, leavesMs: 1500 }],
  [watch.listed(1, { warmup_left_ms: 2500.4 })[0], { isDraining: false, coldMs: 2500, leavesMs: -1 }],
])("decodes entry %j of the platform's list, or rejects it", (item, expected) => {
  const read = platformClient.readInstance(item);
  if (expected === null) expect(read).toBeNull();
  else expect(read).toMatchObject({ instance: expected, version: "v1" });
});
