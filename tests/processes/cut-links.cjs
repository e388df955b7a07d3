// Loaded before a control node's program: while the file of cuts names this node and another on two sides, nothing passes
// on the links that this node dials to that one. What is on its way waits, as with TCP; what is dialled anew is not heard.
const fs = require("node:fs");
const net = require("node:net");

const LOOK_MS = 20;
const [own, internalPort, file] = process.env.CRANEWIND_TEST_CUTS.split(",");
const links = new Set();
/** Addresses of the nodes on the other side. */
let others = new Set();

function read() {
  const sides = fs.existsSync(file) ? JSON.parse(fs.readFileSync(file, "utf8")) : [];
  const mine = sides.find((side) => side.includes(own)) ?? [];
  return new Set(sides.flat().filter((address) => !mine.includes(address)));
}

function hold(link) {
  link.socket.pause();
  link.socket.cork();
  link.isHeld = true;
}

function release(link) {
  link.isHeld = false;
  link.socket.uncork();
  link.socket.resume();
}

function look() {
  others = read();
  for (const link of links) {
    const isCut = others.has(link.host);
    if (isCut && !link.isHeld) hold(link);
    if (!isCut && link.isHeld) release(link);
  }
}

const connect = net.connect;
net.connect = function connectOrHold(...words) {
  const socket = connect.apply(net, words);
  const [{ host, port }] = words;
  if (port !== Number(internalPort)) return socket;
  const link = { socket, host, isHeld: false };
  links.add(link);
  socket.once("close", () => links.delete(link));
  // Whoever reads the socket sets it flowing: it is held after that.
  socket.once("connect", () => setImmediate(() => others.has(host) && !link.isHeld && hold(link)));
  return socket;
};

setInterval(look, LOOK_MS).unref();
