// Guards against bodies and targets that take a control node over its memory or end a connection without a word (design/edge 7.14).
import * as timers from "../../src/runtime/timers.js";
import * as requestTarget from "../../src/wire/request-target.js";
import * as serve from "../../src/wire/serve.js";
import * as rawBytes from "../sim/raw-bytes.js";

const ADDRESS = "127.0.0.1:19471";

async function ask(text: string): Promise<string> {
  const server = serve.child(new timers.SystemClock(), "operator", ADDRESS, ({ path, body }) => ({
    status: 200,
    headers: { Connection: "close" },
    json: { path, bytes: body.length },
  }));
  await server.start();
  const told = await rawBytes.sendRaw(19471, text);
  await server.stop();
  return told;
}

test.each([
  ["in many chunks of one byte", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(100_000), "413"],
  [
    "in a few of them",
    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(3000) + "0\r\n\r\n",
    "200",
  ],
  ["over the bound", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99000000\r\n\r\n" + "x".repeat(17 * 1024 * 1024), "413"],
  ["to a path of slashes", `GET ${"/".repeat(10_000)} HTTP/1.1\r\nHost: h\r\n\r\n`, "200"],
  ["to no path", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", "400"],
])("a call %s is answered", async (_what, text, status) => {
  expect((await ask(text)).slice(9, 12)).toBe(status);
});

test.each([
  ["/-/resolve?name=a%20b&zone=z#x", "/-/resolve", "name=a+b&zone=z"],
  ["//a/../b", "//a/../b", ""],
  ["http://h:80/x?y=1", "/x", "y=1"],
])("the target %s", (target, path, query) => {
  const parsed = requestTarget.parse(target);
  expect([parsed?.path, parsed?.query.toString()]).toEqual([path, query]);
});
