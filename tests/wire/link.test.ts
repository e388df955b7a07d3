// Links, calls and the feed over real loopback sockets (design 3, 4.2, 6.4).
import * as net from "node:net";
import * as dialer from "../../src/feed/dialer.js";
import * as feedPublisher from "../../src/feed/feed-publisher.js";
import * as feedTopics from "../../src/feed/feed-topics.js";
import * as feedSubscriber from "../../src/feed/feed-subscriber.js";
import * as registerValue from "../../src/register/register-value.js";
import * as log from "../../src/runtime/log.js";
import * as calls from "../../src/wire/calls.js";
import * as link from "../../src/wire/link.js";
import * as release from "../../src/wire/release.js";
import * as types from "../../src/wire/types.js";
import * as schema from "../../src/wire/schema.js";
import * as timers from "../../src/runtime/timers.js";

const clock = new timers.SystemClock();

interface Side {
  server: net.Server;
  address: string;
  handlers: link.Handlers;
  links: link.Link[];
}

const sides: Side[] = [];

async function listen(handlers = new link.Handlers()): Promise<Side> {
  const links: link.Link[] = [];
  const server = net.createServer((socket) => links.push(new link.Link(clock, socket, handlers)));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  const side = { server, address: `127.0.0.1:${port}`, handlers, links };
  sides.push(side);
  return side;
}

afterEach(() => {
  for (const side of sides.splice(0)) {
    for (const item of side.links) item.end("test over");
    side.server.close();
  }
});

async function until(isSo: () => boolean): Promise<void> {
  while (!isSo()) await new Promise(setImmediate);
}

function valueOf(epoch: number): schema.Value {
  return { ...registerValue.initialValue(["a:1"]), epoch: types.small(epoch) };
}

function node(name: string, region: string): schema.NodeInfo {
  return {
    name,
    role: "control",
    life: name,
    zone: region,
    region,
    address: "",
    outside: "",
    disk: "",
    isCounted: true,
    isReady: true,
    epoch: types.FIRST_EPOCH,
  };
}

test("a call gets its reply; a handler that says nothing is silence, and silence is null", async () => {
  const side = await listen();
  side.handlers.on(calls.ask, (_from, ask) => (ask.epoch < 5 ? { value: valueOf(5) } : null));
  const made = (await link.connect(clock, side.address, new link.Handlers(), 1000))!;
  const big = { ...valueOf(7), config: Buffer.alloc(300_000, 7) };
  side.handlers.on(calls.prepare, () => ({
    isGranted: true,
    disk: "d",
    ballot: { n: 1, by: "x" },
    accepted: { ballot: { n: 1, by: "x" }, value: big },
  }));
  const [reply, silent, vote] = await Promise.all([
    made.call(calls.ask, { epoch: types.small(1) }, 1000),
    made.call(calls.ask, { epoch: types.small(9) }, 30),
    made.call(calls.prepare, { disk: "d", ballot: { n: 1, by: "x" } }, 1000),
  ]);
  expect(reply!.value!.epoch).toBe(5);
  expect(silent).toBeNull();
  expect(vote!.accepted!.value.config).toHaveLength(300_000);
  side.links[0].end("gone");
  expect(await made.call(calls.ask, { epoch: types.small(1) }, 1000)).toBeNull();
});

const GARBLED: [string, Buffer][] = [
  ["an unknown code", Buffer.from([0, 0, 0, 0, 0, 99, 0, 0, 0, 0])],
  ["an unknown kind", Buffer.from([0, 0, 0, 0, 7, 1, 0, 0, 0, 0])],
  ["a frame too long", Buffer.from([255, 255, 255, 255, 0, 1, 0, 0, 0, 0])],
  ["a body that is no such message", Buffer.from([0, 0, 0, 2, 0, 9, 0, 0, 0, 0, 255, 255])],
];

test.each(GARBLED)("%s ends the link and is counted", async (_name, bytes) => {
  const side = await listen();
  const before = log.counted().get("link.garbled") ?? 0;
  const socket = net.connect(Number(side.address.split(":")[1]), "127.0.0.1");
  const closed = new Promise((resolve) => socket.once("close", resolve));
  socket.on("error", () => undefined);
  socket.resume();
  socket.write(Buffer.concat([release.preamble(schema.RELEASE), bytes]));
  await closed;
  expect(log.counted().get("link.garbled")).toBe(before + 1);
  expect(side.links[0].isOpen).toBe(false);
});

interface Taken {
  epochs: number[];
  lists: number;
}

function follow(dial: dialer.Dialer, handlers: link.Handlers, region: string): { follower: feedSubscriber.FeedSubscriber; taken: Taken } {
  const taken: Taken = { epochs: [], lists: 0 };
  const follower = new feedSubscriber.FeedSubscriber(clock, region, dial, handlers, () => [feedTopics.listTopic("r")], {
    onUnsubscribe: () => undefined,
    onChange: (applied) => {
      if (applied.topic === feedTopics.REGISTER_TOPIC) taken.epochs.push(applied.stamp);
      else taken.lists += 1;
    },
  });
  return { follower, taken };
}

interface Control {
  side: Side;
  feed: feedPublisher.FeedPublisher;
}

async function control(name: string, region: string): Promise<Control> {
  const side = await listen();
  const feed = new feedPublisher.FeedPublisher(name);
  side.handlers.on(calls.hello, () => ({
    node: node(name, region),
    controls: sides.map((item) => ({ address: item.address, name: "", zone: "", region: "" })),
    place: name,
    isConfirmed: true,
  }));
  side.handlers.on(calls.subscribe, (from, ask) => {
    feed.subscribe(from, ask);
    return null;
  });
  return { side, feed };
}

function publish(feed: feedPublisher.FeedPublisher, epoch: number): void {
  feed.publishSnapshot(
    feedTopics.REGISTER_TOPIC,
    new Map([[feedTopics.ALL_KEY, schema.chosen.toBuffer({ value: valueOf(epoch) })]]),
    types.small(epoch),
  );
}

test("a router finds control nodes from one seed, follows the near one, takes epochs from any, never back", async () => {
  const near = await control("near", "r");
  const far = await control("far", "q");
  const handlers = new link.Handlers();
  const dial = new dialer.Dialer(clock, "", handlers, () => node("router", "r"), 5000);
  const { follower, taken } = follow(dial, handlers, "r");
  near.feed.publishSnapshot(feedTopics.listTopic("r"), new Map(), types.small(0));
  far.feed.publishSnapshot(feedTopics.listTopic("r"), new Map(), types.small(0));
  publish(far.feed, 3);
  dial.addAddresses([far.side.address]);
  await until(() => {
    dial.maintainLinks();
    follower.selectPrimary();
    return dial.controls.size === 2 && follower.primary?.node.name === "near";
  });
  await until(() => taken.epochs.includes(3) && taken.lists > 0);
  publish(near.feed, 2); // a control node that was cut off has an older one: no step back
  publish(near.feed, 4);
  publish(far.feed, 4);
  publish(far.feed, 5); // cut off or not, the other brings it
  await until(() => taken.epochs.includes(5));
  expect(taken.epochs).toEqual([3, 4, 5]);
  for (const item of near.side.links) item.end("killed");
  await until(() => follower.primary?.node.name === "far");
  dial.close();
});
