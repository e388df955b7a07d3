// Small types of their own for ids, epochs and times (design 1.3).
declare const tag: unique symbol;
type Small<Base, Name extends string> = Base & { readonly [tag]: Name };

export type Epoch = Small<number, "Epoch">;
export type SteadyMs = Small<number, "SteadyMs">;
export type NodeName = Small<string, "NodeName">;
export type Life = Small<string, "Life">;
export type DiskId = Small<string, "DiskId">;
export type Address = Small<string, "Address">;
export type Zone = Small<string, "Zone">;
export type Region = Small<string, "Region">;
export type RunnerId = Small<string, "RunnerId">;
export type RequestId = Small<string, "RequestId">;

export function small<T>(value: string | number): T {
  return value as unknown as T;
}

/** Time, chance and ticks, handed in so that tests decide them (design 1.4). */
export interface World {
  now(): SteadyMs;
  random(): number;
  after(ms: number, run: () => void): Tick;
}

export interface Tick {
  stop(): void;
}

export function hostOf(address: string): string {
  const at = address.lastIndexOf(":");
  return at < 0 ? address : address.slice(0, at);
}

export function portOf(address: string): number {
  return Number(address.slice(address.lastIndexOf(":") + 1));
}
