// Requests rejected lately are recognized when they are retried (design/admission 5).
import * as recentRejections from "../../src/admission/recent-rejections.js";

test("counts the rejections of a request by its key, within bounds of time and memory", () => {
  const memory = new recentRejections.RecentRejections();
  const key = recentRejections.requestKey("r", [3, 5], null);
  expect([key, recentRejections.requestKey("r", [], null)]).toEqual([5, 0]);
  expect(recentRejections.requestKey("r", [], Buffer.from("same"))).toBe(recentRejections.requestKey("r", [], Buffer.from("same")));
  memory.record(key, 0);
  expect([memory.count(key, 9000), memory.count(key, 11_000), memory.count(0, 0)]).toEqual([1, 0, 0]);
  for (let other = 10; other < 20_000; other += 1) memory.record(other, 100);
  expect(memory.size).toBeLessThanOrEqual(4096);
});
