// Events of a resumable stream are forwarded whole (design 7.9).
import * as eventSplitter from "../../src/router/client/event-splitter.js";

test("only complete events are forwarded, whatever the chunks", () => {
  const text = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\nid: 3\ndata: c";
  for (let size = 1; size < 9; size += 1) {
    const cut = new eventSplitter.EventSplitter();
    let out = "";
    for (let at = 0; at < text.length; at += size) out += cut.push(Buffer.from(text.slice(at, at + size))).toString();
    expect([out, cut.lastId, cut.count]).toEqual(["id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n", "2", 2]);
    expect(cut.takeRemainder().toString()).toBe("id: 3\ndata: c");
  }
});

/** Bytes that are copied while one event of this length comes one byte at a time. */
function bytesCopied(eventBytes: number): number {
  const cut = new eventSplitter.EventSplitter();
  const concat = jest.spyOn(Buffer, "concat");
  const copy = jest.spyOn(Buffer.prototype, "copy");
  for (let count = 0; count < eventBytes; count += 1) cut.push(Buffer.from("x"));
  let bytes = concat.mock.results.reduce((sum, { value }) => sum + (value as Buffer).length, 0);
  bytes += copy.mock.results.reduce((sum, { value }) => sum + (value as number), 0);
  for (const spy of [concat, copy]) spy.mockRestore();
  return bytes;
}

// Guards against events whose work grows with the square of their length (review 2, class of case 6; design/edge 7.14).
test("an event that comes byte by byte is copied a few times over, whatever its length", () => {
  for (const length of [10_000, 20_000, 40_000]) expect(bytesCopied(length)).toBeLessThanOrEqual(4 * length);
});

// Guards against events that a runner never ends, held for ever (review 2, class of case 5; design/edge 7.14).
test("an event that is too long to be held is passed on as it comes, and resumes nothing", () => {
  const cut = new eventSplitter.EventSplitter();
  const text = `id: 1\ndata: a\n\ndata: ${"x".repeat(100_000)}\n\nid: 2\n\n`;
  let out = "";
  for (let at = 0; at < text.length; at += 1000) out += cut.push(Buffer.from(text.slice(at, at + 1000))).toString();
  expect(out + cut.takeRemainder().toString()).toBe(text);
  expect([cut.lastId, cut.isPassingThrough]).toEqual(["1", true]);
});
