/** What the tests of the list and of the reports share: siblings, a stand-in platform, a clock beside real sockets. */
import type * as dialer from "../../src/feed/dialer.js";
import * as keyedItems from "../../src/feed/keyed-items.js";
import * as platformEmulator from "../../src/emulator/platform-emulator.js";
import * as schema from "../../src/wire/schema.js";
import * as timers from "../../src/runtime/timers.js";
import * as simulatedClock from "./simulated-clock.js";

export interface Told {
  pair: { name: string };
  ask: schema.Change;
}

/** A sibling that holds what it is told, or what `reply` says. */
export function dialTo(told: Told[], reply = (ask: schema.Change): schema.ListPosition => ({ digest: ask.digest })): dialer.Dialer {
  const tell = (pair: { name: string }, ask: schema.Change) => told.push({ pair, ask });
  const call = async (pair: { name: string }, ask: schema.Change) => {
    tell(pair, ask);
    return reply(ask);
  };
  return { controls: new Map([["sibling", { link: { send: tell, call } }]]) } as unknown as dialer.Dialer;
}

export function keysOf(change: schema.Change): string[] {
  return [...keyedItems.unpackChanges(change).keys()];
}

export function listed(count: number, more: Partial<platformEmulator.ListedInstance> = {}): platformEmulator.ListedInstance[] {
  return Array.from({ length: count }, (_item, index) => ({
    instance_id: `i-${index}`,
    service: "s",
    address: `127.0.0.1:${index + 1}`,
    zone: "z",
    revision: "v1",
    capacity: 4,
    state: "ready" as const,
    warmup_left_ms: 0,
    ...more,
  }));
}

/** Ticks are the test's, the platform's sockets are real: turns are taken until what is waited for is there. */
export async function until(isSo: () => boolean): Promise<void> {
  while (!isSo()) await new Promise(setImmediate);
}

export class MixedWorld extends simulatedClock.SimulatedClock {
  private readonly real = new timers.SystemClock();
  override schedule(ms: number, run: () => void): ReturnType<simulatedClock.SimulatedClock["schedule"]> {
    return this.real.schedule(Math.min(ms, 400), run);
  }
}

export async function withPlatform(run: (platform: platformEmulator.PlatformEmulator) => Promise<void>): Promise<void> {
  const platform = new platformEmulator.PlatformEmulator(2);
  await platform.start();
  await run(platform);
  platform.stop();
}
