// The counters of links by kind of frame (design 9.1, design/experiment 3).
import * as net from "node:net";
import * as calls from "../../src/wire/calls.js";
import * as counts from "../../src/wire/counts.js";
import * as link from "../../src/wire/link.js";
import * as listen from "../../src/wire/listen.js";
import * as types from "../../src/wire/types.js";
import * as timers from "../../src/runtime/timers.js";

const clock = new timers.SystemClock();

test("frames and bytes are counted by kind on both ends, heads included", async () => {
  const handlers = new link.Handlers();
  handlers.on(calls.ask, () => ({ value: null }));
  const server = net.createServer((socket) => new link.Link(clock, socket, handlers));
  await listen.listen(server, "127.0.0.1:0");
  const made = (await link.connect(clock, listen.bound(server), new link.Handlers(), 1000))!;
  const ofAsk = () => counts.linkCounts().get("ask") ?? { framesTold: 0, bytesTold: 0, framesHeard: 0, bytesHeard: 0 };
  const before = ofAsk();
  await made.call(calls.ask, { epoch: types.small(1) }, 1000);
  const bytes = calls.ask.request.toBuffer({ epoch: types.small(1) }).length + calls.ask.reply.toBuffer({ value: null }).length + 20;
  // Both ends are in this process: the call and its reply, told and heard.
  expect(ofAsk()).toEqual({
    framesTold: before.framesTold + 2,
    bytesTold: before.bytesTold + bytes,
    framesHeard: before.framesHeard + 2,
    bytesHeard: before.bytesHeard + bytes,
  });
  made.end("test over");
  server.close();
});
