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
