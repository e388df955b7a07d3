// Guards against bodies that take a router over its memory while they come in (review case 5, design/edge 7.14).
import * as net from "node:net";
import * as stoppedClock from "../sim/stopped-clock.js";
import * as rawBytes from "../sim/raw-bytes.js";
import * as routerEdge from "../sim/router-edge.js";

const MB = 1024 * 1024;
const UPLOAD_BYTES = 3 * MB;
const BIG_PIECE = "x".repeat(64 * 1024);

let edge: routerEdge.Edge;

beforeEach(async () => {
  edge = await routerEdge.Edge.start(new stoppedClock.StoppedClock(), [{ id: "i-1" }]);
  edge.server.applyLimits({ max_body_bytes: 4 * MB });
});
afterEach(() => edge.stop());

function headOf(id: string, framing: string): string {
  return `POST /once/x HTTP/1.1\r\nHost: h\r\nX-Cranewind-Request-Id: ${id}\r\nX-Cranewind-Time-Budget-Ms: 60000\r\n${framing}\r\n\r\n`;
}

test("a body in many chunks of one byte is refused with 413 long before its end, and the connection ends", async () => {
  const told = await edge.send(headOf("q1", "Transfer-Encoding: chunked") + "1\r\nx\r\n".repeat(100_000));
  expect(told).toMatch(/^HTTP\/1\.1 413 [\s\S]*Connection: close[\s\S]*too many small pieces; send larger chunks/i);
  expect(edge.seen()).toEqual([]);
});

test("a short body in chunks of one byte, and a long one in small packets, are taken", async () => {
  const short = headOf("q1", "Transfer-Encoding: chunked\r\nConnection: close") + "1\r\nx\r\n".repeat(3000) + "0\r\n\r\n";
  const long = headOf("q2", "Transfer-Encoding: chunked\r\nConnection: close") + `200\r\n${"y".repeat(512)}\r\n`.repeat(5000) + "0\r\n\r\n";
  for (const text of [short, long]) expect(await edge.send(text)).toMatch(/^HTTP\/1\.1 200 /);
  expect(edge.seen().map(({ body }) => body.length)).toEqual([3000, 512 * 5000]);
});

test("bodies that begin together are refused with 503 where they outgrow the budget, and the others are whole", async () => {
  const uploads = Array.from({ length: 30 }, (_, index) => {
    const socket = net.connect(edge.server.port, "127.0.0.1");
    return { socket, answer: rawBytes.talk(socket, headOf(`q${index}`, `Content-Length: ${UPLOAD_BYTES}\r\nConnection: close`)) };
  });
  for (let sent = 0; sent < UPLOAD_BYTES; sent += BIG_PIECE.length) {
    for (const { socket } of uploads) if (socket.writable) socket.write(BIG_PIECE);
    await new Promise((resolve) => setImmediate(resolve));
  }
  const answers = await Promise.all(uploads.map(({ answer }) => answer));
  // 0.15 of 256 MB: twelve of these, or a few less while some grow in blocks; a refused client may see its connection reset instead.
  const served = answers.filter((answer) => answer.startsWith("HTTP/1.1 200 ")).length;
  expect(served).toBeGreaterThan(0);
  expect(served).toBeLessThanOrEqual((0.15 * 256 * MB) / UPLOAD_BYTES);
  const refused = answers.filter((answer) => answer !== "" && !answer.startsWith("HTTP/1.1 200 "));
  expect(refused.length).toBeGreaterThan(0);
  for (const answer of refused) expect(answer).toMatch(/^HTTP\/1\.1 503 [\s\S]*Retry-After: 0\.50/i);
  expect(edge.seen()).toHaveLength(served);
});
