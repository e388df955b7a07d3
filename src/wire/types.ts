// Small types of their own for ids, epochs and times (design 1.3).
declare const tag: unique symbol;
type Small<Base, Name extends string> = Base & { readonly [tag]: Name };

/** Number of a value of the register. */
export type Epoch = Small<number, "Epoch">;
/** Milliseconds of a steady clock. */
export type SteadyMs = Small<number, "SteadyMs">;
/** One life of a runner. */
export type RunnerId = Small<string, "RunnerId">;
/** One try of a client. */
export type RequestId = Small<string, "RequestId">;
/** Of all items of a topic, whatever their order (design/parts 2). */
export type Digest = Small<string, "Digest">;
/** Of an item or topic: an epoch or a time of reading, as its source says. */
export type Stamp = Small<number, "Stamp">;

/** Takes a plain value as one of the small types. */
export function small<T>(value: string | number): T {
  return value as unknown as T;
}

/** Nothing known yet, and what every first start knows. */
export const NO_EPOCH = small<Epoch>(-1);
/** The epoch that every first start knows. */
export const FIRST_EPOCH = small<Epoch>(0);

/** The epoch after this one. */
export function nextEpoch(epoch: Epoch): Epoch {
  return small(epoch + 1);
}

/** The higher of two. */
export function laterEpoch(left: Epoch, right: Epoch): Epoch {
  return left > right ? left : right;
}

/** Time, chance and ticks, handed in so that tests decide them (design 1.4). */
export interface Clock {
  now(): SteadyMs;
  random(): number;
  schedule(ms: number, run: () => void): Timer;
}

/** A timer; stopping it twice does no harm. */
export interface Timer {
  stop(): void;
}

/** The part of host:port before the colon. */
export function hostOf(address: string): string {
  const at = address.lastIndexOf(":");
  return at < 0 ? address : address.slice(0, at);
}

/** The port of host:port. */
export function portOf(address: string): number {
  return Number(address.slice(address.lastIndexOf(":") + 1));
}
