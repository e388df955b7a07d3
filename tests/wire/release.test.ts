// Links between builds of different releases (design/edge 3.4): told apart, denied with the reason, counted.
import * as crypto from "node:crypto";
import * as net from "node:net";
import * as log from "../../src/runtime/log.js";
import * as calls from "../../src/wire/calls.js";
import * as link from "../../src/wire/link.js";
import * as release from "../../src/wire/release.js";
import * as schema from "../../src/wire/schema.js";
import * as simulatedClock from "../sim/simulated-clock.js";

/** What the frames of each release look like, by digest. A line that stands is not changed: a new release gets a new line. */
const LAYOUTS = new Map<number, string>([
  [1, "fa75b0da752b2ff9"],
  [2, "d8039761d8542bb4"],
]);

function schemaOf(message: unknown): unknown {
  return (message as { schema(): unknown }).schema();
}

interface Feature {
  name: string;
  codes: [first: number, last: number];
  digest: string;
}

/**
 * The same of the calls that a feature adds (calls.isOptional). Nodes that use it run one build, or builds with one
 * digest; a change is told on the feature's page, under upgrades.
 */
const FEATURES: Feature[] = [
  { name: "batches (docs/batch.md)", codes: [44, 53], digest: "82c97917eeead592" },
  { name: "tenants (design/tenants 6)", codes: [54, 54], digest: "56617daec31c8ee2" },
  { name: "forwarded orders (design/hardening/2-orders)", codes: [55, 55], digest: "f4587b8298424331" },
  { name: "tallies (design/tallies 4)", codes: [56, 58], digest: "62ddd5ccf323c6ff" },
  { name: "duties (design/duties 6)", codes: [60, 66], digest: "ffd9d3ceb9727f55" },
  { name: "offered orders (design/hardening/2-orders)", codes: [67, 68], digest: "800bd43a112d1188" },
];

/** All messages and their codes, those of a release or those of features. */
function layoutOf(isOptional: boolean, first = 0, last = 255): unknown[] {
  const layout: unknown[] = [];
  for (let code = first; code <= last; code += 1) {
    const pair = calls.byCode(code);
    if (pair && calls.isOptional(code) === isOptional) layout.push([code, schemaOf(pair.request), schemaOf(pair.reply)]);
  }
  return layout;
}

function digestOf(layout: unknown[]): string {
  return crypto.createHash("sha256").update(JSON.stringify(layout)).digest("hex").slice(0, 16);
}

test("who changes a message or its code numbers a new release", () => {
  const layout = layoutOf(false);
  expect(JSON.stringify(layout)).toContain("kvCapacity"); // nested messages count too
  expect(layout.length).toBeGreaterThan(10);
  expect([schema.RELEASE, digestOf(layout)]).toEqual([schema.RELEASE, LAYOUTS.get(schema.RELEASE)]);
  expect(Math.max(...LAYOUTS.keys())).toBe(schema.RELEASE);
});

test.each(FEATURES)("who changes a message of $name, or its code, says so", ({ codes: [first, last], digest }) => {
  const layout = layoutOf(true, first, last);
  expect(layout.length).toBe(last - first + 1);
  expect(digestOf(layout)).toBe(digest);
});

test("each optional call belongs to one feature", () => {
  const counts = FEATURES.map(({ codes: [first, last] }) => layoutOf(true, first, last).length);
  expect(counts.reduce((sum, count) => sum + count, 0)).toBe(layoutOf(true).length);
});

interface Heard {
  made: link.Link;
  peer: net.Socket;
  causes: string[];
  bytes: Buffer;
}

const servers: net.Server[] = [];
const sockets: net.Socket[] = [];
let clock: simulatedClock.SimulatedClock;
beforeEach(() => (clock = new simulatedClock.SimulatedClock()));
afterEach(() => {
  for (const server of servers.splice(0)) server.close();
  for (const socket of sockets.splice(0)) socket.destroy();
});

/** A link, and the socket of its other side in the test's hands. */
async function open(handlers = new link.Handlers()): Promise<Heard> {
  const accepted = new Promise<net.Socket>((resolve) => servers.push(net.createServer(resolve)));
  const server = servers[servers.length - 1];
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const peer = net.connect((server.address() as net.AddressInfo).port, "127.0.0.1");
  sockets.push(peer);
  const heard: Heard = { made: new link.Link(clock, await accepted, handlers), peer, causes: [], bytes: Buffer.alloc(0) };
  heard.made.on("end", (cause) => heard.causes.push(cause));
  peer.on("data", (chunk: Buffer) => (heard.bytes = Buffer.concat([heard.bytes, chunk])));
  peer.on("error", () => undefined);
  return heard;
}

async function until(isSo: () => boolean): Promise<void> {
  while (!isSo()) await new Promise(setImmediate);
}

function count(name: string): number {
  return log.counted().get(name) ?? 0;
}

function helloFrame(): Buffer {
  const body = schema.ask.toBuffer({ epoch: 3 as never });
  const head = Buffer.alloc(10);
  head.writeUInt32BE(body.length, 0);
  head.writeUInt8(1, 4);
  head.writeUInt8(calls.ask.code, 5);
  return Buffer.concat([head, body]);
}

test("the preamble never changes: magic, then the release, in eight bytes", async () => {
  expect(release.preamble(258).toString("hex")).toBe("43574c4b00000102");
  const heard = await open();
  await until(() => heard.bytes.length >= release.PREAMBLE_BYTES);
  expect(heard.bytes.toString("hex")).toBe(`43574c4b${schema.RELEASE.toString(16).padStart(8, "0")}`);
  heard.made.end("test over");
});

const DENIED: [string, Buffer, string, RegExp][] = [
  ["frames of an earlier build", helloFrame(), "link.other_release", /before releases were told.*release 2;.*same release on both ends/],
  ["an earlier release", release.preamble(0), "link.other_release", /release 0, .*release 2;.*same release on both ends/],
  [
    "a later release with a layout unknown here",
    Buffer.concat([release.preamble(7), Buffer.alloc(50, 255)]),
    "link.other_release",
    /release 7, .*release 2;.*same release on both ends/,
  ],
  ["garbage", Buffer.from("GET / HTTP/1.1\r\n\r\n"), "link.garbled", /no link's; let nothing but cranewind nodes/],
  ["garbage that begins well", Buffer.from("CWLOCK"), "link.garbled", /no link's; let nothing but cranewind nodes/],
];

test.each(DENIED)("%s: denied with the reason, which the other side can read too", async (_name, bytes, counter, reason) => {
  const before = count(counter);
  const handlers = new link.Handlers();
  let handled = 0;
  handlers.on(calls.ask, () => {
    handled += 1;
    return null;
  });
  const heard = await open(handlers);
  heard.peer.write(bytes);
  await until(() => heard.causes.length > 0);
  expect(heard.causes[0]).toMatch(reason);
  expect([heard.made.isOpen, handled, count(counter)]).toEqual([false, 0, before + 1]);
  await until(() => heard.peer.readableEnded); // ended in order: no reset takes the preamble away
  expect(heard.bytes.equals(release.preamble(schema.RELEASE))).toBe(true);
  expect(heard.causes).toHaveLength(1);
});

test("a whole preamble in single bytes is taken, and the frames after it", async () => {
  const handlers = new link.Handlers();
  const epochs: number[] = [];
  handlers.on(calls.ask, (_from, ask) => {
    epochs.push(ask.epoch);
    return null;
  });
  const heard = await open(handlers);
  heard.peer.setNoDelay(true);
  for (const byte of Buffer.concat([release.preamble(schema.RELEASE), helloFrame()])) {
    heard.peer.write(Buffer.from([byte]));
    await new Promise(setImmediate);
  }
  await until(() => epochs.length > 0);
  await clock.play(link.LINK_TIMEOUT_MS * 2);
  expect([epochs, heard.made.isOpen]).toEqual([[3], true]);
  heard.made.end("test over");
});

test.each([
  ["a silent peer", ""],
  ["half a preamble", "CWLK\0"],
  ["half an old frame's head", "\0\0\0"],
])("%s is ended after the time of silence, and counted", async (_name, text) => {
  const before = count("link.no_preamble");
  const heard = await open();
  if (text !== "") {
    heard.peer.write(Buffer.from(text, "latin1"));
    await until(() => heard.made.socket.bytesRead === text.length);
  }
  await clock.play(link.LINK_TIMEOUT_MS - 1);
  expect(heard.made.isOpen).toBe(true);
  await clock.play(1);
  expect(heard.made.isOpen).toBe(false);
  expect(heard.causes[0]).toMatch(/told no release in time; see that/);
  expect(count("link.no_preamble")).toBe(before + 1);
  await clock.play(1000); // lingering ends as well, whether the other side closes or not
  await until(() => heard.made.socket.destroyed);
});

test("two processes of one release speak as before", async () => {
  const server = net.createServer((socket) => new link.Link(clock, socket, handlers));
  const handlers = new link.Handlers();
  handlers.on(calls.ask, () => ({ value: null }));
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const made = (await link.connect(clock, `127.0.0.1:${(server.address() as net.AddressInfo).port}`, new link.Handlers(), 1000))!;
  expect(await made.call(calls.ask, { epoch: 1 as never }, 1000)).toEqual({ value: null });
  made.end("test over");
});
