/** Counters first, lines only for changes of state; a full buffer drops lines and counts them (design 9.1). */
import * as consola from "consola/basic";

const MAX_BUFFERED_LINES = 200;
const counters = new Map<string, number>();
const buffer: string[] = [];
let isFlushScheduled = false;

const out = consola.createConsola({ level: 3, formatOptions: { date: false, colors: false } });

/** Adds to the counter of this name; all counters are shown by `status`. */
export function count(name: string, by = 1): void {
  counters.set(name, (counters.get(name) ?? 0) + by);
}

/** All counters of the process, by name. */
export function counted(): ReadonlyMap<string, number> {
  return counters;
}

function flush(): void {
  isFlushScheduled = false;
  if (buffer.length === 0) return;
  out.info(buffer.splice(0, buffer.length).join("\n"));
}

/** One line about a change of state. */
export function state(line: string): void {
  if (buffer.length >= MAX_BUFFERED_LINES) {
    count("log.dropped");
    return;
  }
  buffer.push(line);
  if (isFlushScheduled) return;
  isFlushScheduled = true;
  setImmediate(flush);
}

/** Writes what is buffered; called before the process ends. */
export function flushNow(): void {
  flush();
}
