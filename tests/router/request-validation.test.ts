// The table of conformance at the edge: raw bytes in, what a client is told, what reaches a runner (design/edge 7.12).
import * as timers from "../../src/runtime/timers.js";
import * as routerEdge from "../sim/router-edge.js";

let edge: routerEdge.Edge;

beforeEach(async () => {
  edge = await routerEdge.Edge.start(new timers.SystemClock(), [{ id: "i-1" }]);
});
afterEach(() => edge.stop());

const ID = "X-Cranewind-Request-Id: q1\r\n";
const CLOSE = "Connection: close\r\n";

/** One request: its first line, its fields, its body as sent. */
function request(line: string, fields: string, body = ""): string {
  return `${line}\r\n${fields}\r\n${body}`;
}
const POST = "POST /once/x HTTP/1.1";
const CHUNKED = "1\r\na\r\n0\r\n\r\n";

const DENIED: [string, number, string][] = [
  ["two ids", 400, request(POST, `Host: h\r\n${ID}X-Cranewind-Request-Id: q2\r\nContent-Length: 0\r\n`)],
  ["the same id twice, in other letters", 400, request(POST, `Host: h\r\n${ID}x-cranewind-request-ID: q1\r\nContent-Length: 0\r\n`)],
  ["an empty id", 400, request(POST, `Host: h\r\nX-Cranewind-Request-Id: \r\n${CLOSE}Content-Length: 0\r\n`)],
  ["no id", 400, request(POST, `Host: h\r\n${CLOSE}Content-Length: 0\r\n`)],
  ["two ids in one field", 400, request(POST, "Host: h\r\nX-Cranewind-Request-Id: q1, q2\r\n")],
  ["an id with a tab", 400, request(POST, "Host: h\r\nX-Cranewind-Request-Id: q\t1\r\n")],
  ["an id beyond ASCII", 400, request(POST, "Host: h\r\nX-Cranewind-Request-Id: q\xe9\r\n")],
  ["two hosts", 400, request(POST, `Host: h\r\nHost: h\r\n${ID}`)],
  ["two differing hosts", 400, request(POST, `Host: h\r\nhost: other\r\n${ID}`)],
  ["no host", 400, request(POST, ID)],
  ["a host list", 400, request(POST, `Host: h, h\r\n${ID}`)],
  ["a host with user information", 400, request(POST, `Host: u@h\r\n${ID}`)],
  ["a host with a path", 400, request(POST, `Host: h/once\r\n${ID}`)],
  ["space before a colon", 400, request(POST, `Host : h\r\n${ID}`)],
  ["identity and chunked", 501, request(POST, `Host: h\r\n${ID}Transfer-Encoding: identity, chunked\r\n`, CHUNKED)],
  ["identity alone", 501, request(POST, `Host: h\r\n${ID}Transfer-Encoding: identity\r\n`)],
  ["gzip and chunked", 501, request(POST, `Host: h\r\n${ID}Transfer-Encoding: gzip, chunked\r\n`, CHUNKED)],
  ["gzip, chunked in two fields", 501, request(POST, `Host: h\r\n${ID}Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n`, CHUNKED)],
  ["chunked twice", 400, request(POST, `Host: h\r\n${ID}Transfer-Encoding: chunked, chunked\r\n`, CHUNKED)],
  ["chunked in HTTP/1.0", 400, request("POST /once/x HTTP/1.0", `Host: h\r\n${ID}Transfer-Encoding: chunked\r\n`, CHUNKED)],
  ["a length and chunks", 400, request(POST, `Host: h\r\n${ID}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n`, CHUNKED)],
  ["chunks and a length", 400, request(POST, `Host: h\r\n${ID}Transfer-Encoding: chunked\r\nContent-Length: 1\r\n`, CHUNKED)],
  ["two differing lengths", 400, request(POST, `Host: h\r\n${ID}Content-Length: 1\r\nContent-Length: 2\r\n`, "ab")],
  ["a list of lengths", 400, request(POST, `Host: h\r\n${ID}Content-Length: 1, 1\r\n`, "a")],
  ["a signed length", 400, request(POST, `Host: h\r\n${ID}Content-Length: +1\r\n`, "a")],
  ["an empty length", 400, request(POST, `Host: h\r\n${ID}Content-Length: \r\n`, "a")],
  ["chunk lengths ended by a bare LF", 400, request(POST, `Host: h\r\n${ID}Transfer-Encoding: chunked\r\n`, "1\na\r\n0\r\n\r\n")],
  ["a chunk length that is no number", 400, request(POST, `Host: h\r\n${ID}Transfer-Encoding: chunked\r\n`, "-1\r\na\r\n0\r\n\r\n")],
  ["a NUL in a field", 400, request(POST, `Host: h\r\n${ID}X-A: a\0b\r\n`)],
  ["a bare CR in a field", 400, request(POST, `Host: h\r\n${ID}X-A: a\rX-B: b\r\n`)],
  ["lines ended by a bare LF", 400, `POST /once/x HTTP/1.1\nHost: h\nX-Cranewind-Request-Id: q1\n\n`],
  ["a folded field", 400, request(POST, `Host: h\r\n${ID}X-A: a\r\n b\r\n`)],
  ["a control byte in the target", 400, request("POST /once/\x01 HTTP/1.1", `Host: h\r\n${ID}`)],
  ["a fragment in the target", 400, request("GET /once/x#y HTTP/1.1", `Host: h\r\n${ID}`)],
  ["a target without a slash", 400, request("GET once/x HTTP/1.1", `Host: h\r\n${ID}`)],
  ["a tunnel", 501, request("CONNECT h:443 HTTP/1.1", `Host: h\r\n${ID}`)],
  ["* with another method", 400, request("GET * HTTP/1.1", `Host: h\r\n${ID}`)],
  ["OPTIONS *", 404, request("OPTIONS * HTTP/1.1", `Host: h\r\n${CLOSE}${ID}`)],
  ["OPTIONS * in absolute form", 404, request("OPTIONS http://h HTTP/1.1", `Host: h\r\n${CLOSE}${ID}`)],
  ["an absolute form of another scheme", 400, request("GET https://h/once/x HTTP/1.1", `Host: h\r\n${ID}`)],
  ["an absolute form with user information", 400, request("GET http://u@h/once/x HTTP/1.1", `Host: h\r\n${ID}`)],
  ["an absolute form of an unknown host", 404, request("GET http://other/once/x HTTP/1.1", `Host: h\r\n${CLOSE}${ID}`)],
  ["HTTP/2.0", 505, request("GET /once/x HTTP/2.0", `Host: h\r\n${ID}`)],
  ["HTTP/1.2", 400, request("GET /once/x HTTP/1.2", `Host: h\r\n${ID}`)],
  ["a Connection that names the id", 400, request(POST, `Host: h\r\n${ID}Connection: close, X-Cranewind-Request-Id\r\n`)],
  ["a Connection that names the host", 400, request(POST, `Host: h\r\n${ID}Connection: Host\r\n`)],
  ["an unknown expectation", 417, request(POST, `Host: h\r\n${ID}${CLOSE}Expect: other\r\n`)],
];

test.each(DENIED)("%s is a %i and reaches no runner", async (_name, status, text) => {
  const reply = await edge.send(text);
  expect(reply.split("\r\n")[0]).toMatch(new RegExp(`^HTTP/1\\.1 ${status} `));
  expect(reply.toLowerCase()).toContain("connection: close");
  expect(edge.seen()).toHaveLength(0);
});

test.each(DENIED.filter(([, status]) => status !== 404 && status !== 417))(
  "%s (%i): what follows in one go reaches no runner",
  async (_name, _status, text) => {
    const next = request("POST /once/next HTTP/1.1", `Host: h\r\nX-Cranewind-Request-Id: q9\r\n${CLOSE}Content-Length: 0\r\n`);
    const reply = await edge.send(text + next);
    expect(reply.match(/HTTP\/1\.1 /g)).toHaveLength(1);
    expect(edge.seen()).toHaveLength(0);
  },
);

const TAKEN: [string, string, { method?: string; path: string; body: string; host?: string }][] = [
  ["absolute form", request("GET http://h/once/x HTTP/1.1", `Host: h\r\n${CLOSE}${ID}`), { method: "GET", path: "/once/x", body: "" }],
  [
    "absolute form with query and body",
    request("POST http://h/once/x?a=%20&b HTTP/1.1", `Host: h\r\n${CLOSE}${ID}Content-Length: 3\r\n`, "abc"),
    { method: "POST", path: "/once/x?a=%20&b", body: "abc" },
  ],
  [
    "absolute form in capitals, with a port",
    request("GET HTTP://H:80/once/x HTTP/1.1", `Host: h\r\n${CLOSE}${ID}`),
    { path: "/once/x", body: "", host: "H:80" },
  ],
  [
    "absolute form against another Host",
    request("GET http://h/once/x HTTP/1.1", `Host: other\r\n${CLOSE}${ID}`),
    { path: "/once/x", body: "", host: "h" },
  ],
  ["absolute form in HTTP/1.0 without Host", request("GET http://h/once/x HTTP/1.0", ID), { path: "/once/x", body: "", host: "h" }],
  [
    "a chunk extension",
    request(POST, `Host: h\r\n${CLOSE}${ID}Transfer-Encoding: chunked\r\n`, "1;a=b\r\na\r\n0;c\r\n\r\n"),
    { path: "/once/x", body: "a" },
  ],
  ["Chunked in capitals", request(POST, `Host: h\r\n${CLOSE}${ID}Transfer-Encoding: CHUNKED\r\n`, CHUNKED), { path: "/once/x", body: "a" }],
  [
    "a trailer with another id",
    request(POST, `Host: h\r\n${CLOSE}${ID}Transfer-Encoding: chunked\r\n`, "1\r\na\r\n0\r\nX-Cranewind-Request-Id: q2\r\n\r\n"),
    { path: "/once/x", body: "a" },
  ],
  [
    "an encoded path and dots, unchanged",
    request("GET /once/../once/%2e%2E//x?y=/../ HTTP/1.1", `Host: h\r\n${CLOSE}${ID}`),
    { path: "/once/../once/%2e%2E//x?y=/../", body: "" },
  ],
  [
    "an offer to change the protocol",
    request("GET /once/x HTTP/1.1", `Host: h\r\nConnection: close, Upgrade\r\nUpgrade: other\r\n${ID}`),
    { path: "/once/x", body: "" },
  ],
  [
    "a Connection that names a field of its own",
    request(POST, `Host: h\r\n${ID}Connection: close, X-Hop\r\nX-Hop: 1\r\nContent-Length: 0\r\n`),
    { path: "/once/x", body: "" },
  ],
  [
    "space around the id",
    request("GET /once/x HTTP/1.1", `Host: h\r\n${CLOSE}X-Cranewind-Request-Id:  \t q1 \r\n`),
    { path: "/once/x", body: "" },
  ],
];

test.each(TAKEN)("%s reaches one runner in the expected form", async (_name, text, expected) => {
  const { host, ...same } = expected;
  const reply = await edge.send(text);
  expect(reply).toMatch(/^HTTP\/1\.1 200 /);
  expect(edge.seen()).toHaveLength(1);
  const [seen] = edge.seen();
  expect(seen).toMatchObject({ requestId: "q1", ...same });
  expect(seen.headers.host).toBe(host ?? "h");
  expect(seen.headers).not.toHaveProperty("x-hop");
  expect(seen.headers).not.toHaveProperty("upgrade");
});

test.each([
  ["no request", "nonsense\r\n\r\n"],
  ["a request with two lengths", request(POST, `Host: h\r\n${ID}Content-Length: 1\r\nContent-Length: 2\r\n`)],
  ["a body that breaks off badly", request(POST, `Host: h\r\nX-Cranewind-Request-Id: q2\r\nTransfer-Encoding: chunked\r\n`, "zz\r\n")],
])("%s after a request at work does not take the place of its reply", async (_name, next) => {
  const reply = await edge.send(request(POST, `Host: h\r\n${ID}Content-Length: 0\r\n`) + next);
  expect(reply).toMatch(/^HTTP\/1\.1 200 /);
  expect(reply.match(/HTTP\/1\.1 /g)).toHaveLength(1);
  expect(reply.toLowerCase()).toContain("connection: close");
  expect(edge.seen().map((seen) => seen.requestId)).toEqual(["q1"]);
});

test("more bytes after a request that closes do not replace its response", async () => {
  const reply = await edge.send(
    request(POST, `Host: h\r\n${CLOSE}${ID}Content-Length: 0\r\n`) + request(POST, `Host: h\r\nX-Cranewind-Request-Id: q2\r\n`),
  );
  expect(reply).toMatch(/^HTTP\/1\.1 200 /);
  expect(reply.match(/HTTP\/1\.1 /g)).toHaveLength(1);
  expect(edge.seen().map((seen) => seen.requestId)).toEqual(["q1"]);
});
