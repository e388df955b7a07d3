// Counters first, lines only for changes of state; a full buffer drops lines (design 9.1).
import * as consola from "consola/basic";

const MAX_BUFFERED_LINES = 200;
const counters = new Map<string, number>();
const buffer: string[] = [];
let isFlushScheduled = false;

const out = consola.createConsola({ level: 3, formatOptions: { date: false, colors: false } });

export function count(name: string, by = 1): void {
  counters.set(name, (counters.get(name) ?? 0) + by);
}

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

export function flushNow(): void {
  flush();
}
