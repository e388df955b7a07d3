// The checker itself: histories made by hand, each with one thing that no order of the changes explains.
import * as histories from "./history.js";

function sent(mark: string, base: number, revision: number, times: [number, number], reply: histories.Sending["reply"]): histories.Sending {
  return { mark, base, revision, startMs: times[0], endMs: times[1], reply };
}

function read(revision: number, mark: string, times: [number, number]): histories.Read {
  return { revision, mark, startMs: times[0], endMs: times[1] };
}

test("a chain of changes, a lost race, an unclear order that was taken, and reads in between are explained", function good() {
  const history: histories.History = {
    sendings: [
      sent("a", 0, 1, [0, 10], "confirmed"),
      sent("b", 0, 2, [0, 12], "refused"),
      sent("c", 1, 3, [20, Infinity], "unclear"),
      sent("d", 3, 4, [50, 60], "confirmed"),
      sent("a", 0, 1, [70, 80], "confirmed"),
    ],
    reads: [read(0, "", [0, 5]), read(1, "a", [11, 15]), read(3, "c", [30, 40]), read(4, "d", [55, 65])],
  };
  expect(histories.check(history)).toBeNull();
});

test.each<[string, histories.Sending[], histories.Read[]]>([
  ["two changes stand on base 0", [sent("a", 0, 1, [0, 10], "confirmed"), sent("b", 0, 2, [0, 10], "confirmed")], []],
  ["two changes made revision 3", [sent("a", 0, 3, [0, 10], "confirmed"), sent("b", 1, 3, [0, 10], "confirmed")], []],
  ["stands between", [sent("a", 0, 3, [0, 10], "confirmed"), sent("b", 1, 2, [0, 10], "confirmed")], []],
  ["was taken, and refused", [sent("a", 0, 1, [0, 10], "confirmed"), sent("a", 0, 1, [20, 30], "refused")], []],
  ["was taken, and refused", [sent("a", 0, 1, [0, 10], "refused"), sent("a", 0, 1, [20, 30], "confirmed")], []],
  ["while its base 0 was in place", [sent("a", 0, 1, [0, 10], "refused")], []],
  ["while its base 0 was in place", [sent("a", 0, 1, [0, 10], "refused"), sent("b", 0, 2, [11, 20], "confirmed")], []],
  ["a read saw revision 0 after a", [sent("a", 0, 1, [0, 10], "confirmed")], [read(0, "", [11, 20])]],
  ["before it was sent", [sent("a", 0, 1, [10, 20], "confirmed")], [read(1, "a", [0, 5])]],
  ["which nobody ordered", [], [read(1, "a", [0, 5])]],
  ["which nobody ordered", [sent("a", 0, 1, [0, 10], "confirmed")], [read(2, "a", [0, 5])]],
  ["reads went back", [sent("a", 0, 1, [0, Infinity], "unclear")], [read(1, "a", [0, 5]), read(0, "", [6, 9])]],
  ["stands below it", [sent("a", 5, 6, [0, 10], "confirmed"), sent("b", 1, 2, [20, 30], "confirmed")], []],
])("not explained: %s", function bad(verdict, sendings, reads) {
  expect(histories.check({ sendings, reads })).toContain(verdict);
});
