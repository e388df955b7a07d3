/** Signs, and links that keep what they are told. */
import * as log from "../../src/runtime/log.js";
import * as runnerHash from "../../src/hints/runner-hash.js";
import * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";

export const ids = (...names: string[]): types.RunnerId[] => names.map((name) => types.small(name));

export class FakeLink {
  readonly sent: schema.Hints[] = [];
  readonly ends: (() => void)[] = [];
  send(_pair: unknown, ask: unknown): void {
    this.sent.push(ask as schema.Hints);
  }
  once(_event: string, run: () => void): this {
    this.ends.push(run);
    return this;
  }
  entries(): [number, number][] {
    return this.sent.flatMap((told) => told.readings.map((item): [number, number] => [item.runner, item.unread]));
  }
}

export const linkOf = (made: FakeLink): never => made as unknown as never;

export function prefillHint(runner: string, unread = 1000, keys: number[] = [1]): schema.PrefillHint {
  return { runner: runnerHash.runnerHash(runner), unread, keys };
}

export function hintsOf(...told: schema.PrefillHint[]): schema.Hints {
  return { isRelayed: false, silent: [], readings: told };
}

export function counterValue(name: string): number {
  return log.counted().get(name) ?? 0;
}
