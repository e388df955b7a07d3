// A region in a few numbers for routers that send nothing there (design/usage 4.2): per service the runners in good
// status, all runners, mean usage and room.
import * as schema from "../wire/schema.js";
import type * as pictures from "./picture.js";

export const SUMMARY_TOPIC = "summary";
/** Steps of mean usage and of room (*ours*). */
export const STEPS = 16;
/** A picture not heard for so long says nothing of usage. */
export const STALE_MS = 2000;

interface Sums {
  total: number;
  good: number;
  used: number;
  capacity: number;
  room: number;
}

export function keyOf(region: string, service: string): string {
  return `${region}/${service}`;
}

/** Service -> summary of the region's runners. */
export function summarise(picture: pictures.Picture, instances: Iterable<schema.Instance>, now: number): Map<string, schema.Summary> {
  const sums = new Map<string, Sums>();
  for (const instance of instances) {
    let sum = sums.get(instance.service);
    if (!sum) {
      sum = { total: 0, good: 0, used: 0, capacity: 0, room: 0 };
      sums.set(instance.service, sum);
    }
    add(sum, instance, picture.told.get(instance.id));
  }
  const isFresh = now - picture.heardAt <= STALE_MS;
  const found = new Map<string, schema.Summary>();
  for (const [service, { total, good, used, capacity, room }] of sums) {
    found.set(service, { isFresh, total, good, usage: steps(used, capacity), room: steps(room, capacity) });
  }
  return found;
}

function add(sum: Sums, instance: schema.Instance, told: schema.Report | undefined): void {
  sum.total += 1;
  sum.capacity += instance.capacity;
  if (told && !told.isSpeaking) return;
  if (!instance.isDraining) sum.good += 1;
  const used = told ? told.active + told.waiting : 0;
  sum.used += used;
  if (!instance.isDraining) sum.room += Math.max(0, instance.capacity - used);
}

function steps(part: number, whole: number): number {
  return whole > 0 ? Math.round((STEPS * part) / whole) : 0;
}

/** A step to and fro at a border is not told: usage moves by more than one step, or stays. */
export function settled(told: schema.Summary | undefined, summary: schema.Summary): schema.Summary {
  if (!told) return summary;
  return { ...summary, usage: held(told.usage, summary.usage), room: held(told.room, summary.room) };
}

function held(told: number, now: number): number {
  return Math.abs(told - now) <= 1 && now !== 0 ? told : now;
}

/** The router's side: region and service -> summary. */
export class Summaries {
  private readonly held = new Map<string, schema.Summary>();
  private details: ReadonlySet<string> = new Set();
  private wanted = new Set<string>();

  take(key: string, body: Buffer | null): void {
    if (body) this.held.set(key, schema.summary.fromBuffer(body));
    else this.held.delete(key);
  }

  /** A request ranks runners of this region: a summary is not enough. */
  want(region: string): void {
    this.wanted.add(region);
  }

  takeWanted(): ReadonlySet<string> {
    const { wanted } = this;
    if (wanted.size > 0) this.wanted = new Set();
    return wanted;
  }

  /** Of these regions more is known than a summary says. */
  detailed(regions: ReadonlySet<string>): void {
    this.details = regions;
  }

  /** Null when nothing fresh is known, or more is known by reports. */
  of(region: string, service: string): schema.Summary | null {
    if (this.details.has(region)) return null;
    const found = this.held.get(keyOf(region, service));
    return found?.isFresh ? found : null;
  }
}

/** Mean requests a runner of this capacity has at a summary's usage. */
export function usageOf(summary: schema.Summary, capacity: number): number {
  return (summary.usage / STEPS) * capacity;
}
