// The router's side of signs (design/usage 2): what it tells others, and how it takes what others tell.
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../startup/log.js";
import * as batches from "./batch.js";
import type * as marks from "./marks.js";
import * as paces from "./pace.js";

/** Keys of one reading that are told (*ours*). */
const MOST_KEYS = 8;

export interface Hearer {
  doubted(ids: types.RunnerId[]): void;
  read(runner: types.RunnerId, unread: number, keys: readonly number[]): void;
}

export class Teller {
  private readonly batch = new batches.Batch();
  private readonly pace: paces.Pace;

  constructor(
    world: types.World,
    private readonly marks: marks.Marks<types.RunnerId>,
    private readonly hearer: Hearer,
    private readonly tell: (told: schema.Signs) => void,
  ) {
    this.pace = new paces.Pace(world, this.flush.bind(this));
  }

  /** A reading sent from here; `keys` are those of its unread parts: the others were told when they were read. */
  reading(runner: types.RunnerId, unread: number, keys: readonly number[]): void {
    const mark = this.marks.markOf(runner);
    if (mark === null) return;
    this.batch.addReading({ runner: mark, unread, keys: keys.slice(-MOST_KEYS) });
    this.pace.ask();
  }

  silence(runners: readonly types.RunnerId[]): void {
    for (const runner of runners) {
      const mark = this.marks.markOf(runner);
      if (mark !== null) this.batch.addSilent(mark);
    }
    if (!this.batch.isEmpty) this.pace.ask();
  }

  hear(told: schema.Signs): void {
    const silent: types.RunnerId[] = [];
    for (const mark of told.silent) {
      const id = this.marks.idOf(mark);
      if (id !== null) silent.push(id);
    }
    if (silent.length > 0) this.hearer.doubted(silent);
    for (const reading of told.readings) {
      const id = this.marks.idOf(reading.runner);
      if (id === null) log.count("signs.unknown");
      else this.hearer.read(id, reading.unread, reading.keys);
    }
  }

  private flush(): void {
    if (this.batch.isEmpty) return;
    log.count("signs.frames");
    this.tell({ isRelayed: false, ...this.batch.take() });
  }

  stop(): void {
    this.pace.stop();
  }
}
