// What a control node concludes from its own disk and its links: the fence of leases, and losses that can be borne
// (hardening 0 and 3).
import * as registerReplica from "../../src/control/register-replica.js";
import * as dialer from "../../src/feed/dialer.js";
import * as registerValue from "../../src/register/register-value.js";
import * as acceptor from "../../src/register/acceptor.js";
import * as link from "../../src/wire/link.js";
import * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";
import * as simulatedClock from "../sim/simulated-clock.js";

const ADDRESSES = ["a:1", "b:1", "c:1"];
const first = registerValue.initialValue(ADDRESSES);

function nodeAt(address: string, disk: string): schema.NodeInfo {
  const place = { zone: "z", region: "r", outside: "", life: "" };
  return { ...place, name: address, role: "control", address, disk, isCounted: true, isReady: true, epoch: types.NO_EPOCH };
}

interface Made {
  core: registerReplica.RegisterReplica;
  dial: dialer.Dialer;
}

/** The core of a:1 with its first disk, on which the value given was accepted last. */
function make(accepted: schema.Value): Made {
  const clock = new simulatedClock.SimulatedClock();
  const describe = (): schema.NodeInfo => nodeAt("a:1", "");
  const dial = new dialer.Dialer(clock, "a:1", new link.Handlers(), describe, link.LINK_TIMEOUT_MS);
  const core = new registerReplica.RegisterReplica(clock, { incarnation: "life", address: "a:1", initialValue: first }, dial);
  const disk = {
    disk: registerValue.initialDisk("a:1"),
    promised: registerValue.NO_BALLOT,
    accepted: { ballot: registerValue.NO_BALLOT, value: accepted },
  };
  core.attachVoter(new acceptor.Acceptor({ write: () => Promise.resolve() }, disk));
  return { core, dial };
}

function meet({ dial }: Made, address: string, disk = registerValue.initialDisk(address)): void {
  const control = {
    address,
    node: nodeAt(address, disk),
    feedIncarnation: "",
    link: {} as link.Link,
    heartbeat: null,
    wasConfirmed: false,
    heartbeatAt: 0,
    roundTripMs: 0,
  };
  dial.controls.set(address, control);
}

function changed(value: schema.Value, times: number): schema.Value {
  let next = value;
  for (let count = 0; count < times; count += 1) next = registerValue.withConfig(next, next.revision + 1, Buffer.alloc(1), `${count}`);
  return next;
}

test("the fence counts a joint set accepted here until a chosen value shows that it can never be chosen", () => {
  const joint = registerValue.withVoters(first, [...first.voters]);
  const { core } = make(joint);
  expect(core.acceptedVoterEpoch).toBe(1);
  core.learn(first);
  expect(core.acceptedVoterEpoch).toBe(1);
  core.learn(changed(first, 1));
  expect(core.acceptedVoterEpoch).toBe(0);
});

test("the fence never falls below a set that was chosen with this disk's vote", () => {
  const joint = registerValue.withVoters(first, [...first.voters]);
  const { core } = make(joint);
  core.learn(changed(registerValue.withoutFormerVoters(joint), 3));
  expect(core.acceptedVoterEpoch).toBe(1);
});

test("losses that can be tolerated: voters connected, by their disks, beyond a majority of each set", () => {
  const made = make(first);
  const { core } = made;
  expect(core.lossesBorne()).toBe(0);
  core.learn(first);
  expect([core.hasQuorum(), core.lossesBorne()]).toEqual([false, 0]);
  meet(made, "b:1");
  expect([core.hasQuorum(), core.lossesBorne()]).toEqual([true, 0]);
  meet(made, "c:1");
  expect(core.lossesBorne()).toBe(1);
  meet(made, "c:1", "disk:wiped");
  expect(core.lossesBorne()).toBe(0);
  const five = ["d:1", "e:1"].map((address) => ({ disk: address, node: address, address }));
  core.learn(registerValue.withVoters(first, [...first.voters, ...five]));
  for (const { address, disk } of five) meet(made, address, disk);
  expect(core.lossesBorne()).toBe(0);
  meet(made, "c:1");
  expect(core.lossesBorne()).toBe(1);
});

test("a voter whose disk runs in another machine is connected there, and not at its old address", () => {
  const made = make(first);
  made.core.learn(first);
  meet(made, "b:1", registerValue.initialDisk("c:1"));
  expect([made.core.hasQuorum(), made.core.voterRank()]).toEqual([true, 0]);
  made.dial.controls.clear();
  meet(made, "b:1", "disk:other");
  expect(made.core.hasQuorum()).toBe(false);
});
