// A small deployment over the simulated network: control nodes a, b, c ..., each in a region of its own, a router in each.
import type * as serve from "../../src/wire/serve.js";
import * as simControlNode from "./sim-control-node.js";
import * as networks from "./network.js";
import * as routerNode from "./router-node.js";
import * as simulatedClock from "./simulated-clock.js";

export interface System {
  clock: simulatedClock.SimulatedClock;
  network: networks.SimNetwork;
  controls: Map<string, simControlNode.ControlNode>;
  routers: routerNode.RouterNode[];
}

export const NAMES = ["a", "b", "c"];

/** Each control node in a region of its own name; one router in each. */
export async function start(
  options: { seed?: number; names?: string[]; broken?: simControlNode.Broken; withRouters?: boolean; cut?: [string[], string[]] } = {},
): Promise<System> {
  const { seed = 7, names = NAMES, broken = "none", withRouters = true } = options;
  const clock = new simulatedClock.SimulatedClock(seed);
  const network = new networks.SimNetwork(clock);
  if (options.cut) network.cut(...options.cut);
  const controls = new Map<string, simControlNode.ControlNode>();
  for (const name of names) {
    controls.set(name, new simControlNode.ControlNode(network, name, { seeds: names, region: name, broken }));
  }
  const system: System = { clock, network, controls, routers: [] };
  if (withRouters) for (const name of names) system.routers.push(new routerNode.RouterNode(network, `r${name}`, name, names));
  await clock.play(4000);
  return system;
}

export function get(system: System, name: string): simControlNode.ControlNode {
  return system.controls.get(name)!;
}

/** Plays until the call is answered; how long that took. */
export async function answered(system: System, call: Promise<serve.HttpResponse>): Promise<{ told: serve.HttpResponse; ms: number }> {
  const from = system.clock.now();
  let told: serve.HttpResponse | null = null;
  void call.then((reply) => (told = reply));
  while (!told && system.clock.now() - from < 10_000) await system.clock.play(10);
  return { told: told!, ms: system.clock.now() - from };
}

export async function take(system: System, name: string, zone: string): Promise<void> {
  const { told } = await answered(system, get(system, name).evacuate(zone));
  expect(told.status).toBe(200);
}

export function router(system: System, name: string): routerNode.RouterNode {
  return system.routers.find((item) => item.name === name)!;
}

/** Two orders at once at b and c, so that each sees the other propose; orders are forwarded to a then. */
export async function contend(system: System): Promise<void> {
  const [left, right] = ["b", "c"].map((name, index) => get(system, name).evacuate(`z${index}`));
  await answered(system, left);
  await answered(system, right);
}
