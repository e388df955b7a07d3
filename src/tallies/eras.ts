/**
 * When an era ends (design/tallies 6). A node goes on to the next one only when every member has told that it is in this
 * one, and all that they told is held here: so eras of members are at most one apart, and an id that is forgotten is
 * forgotten by all before any of them could take it for a new one that others take for a known one.
 */
import type * as types from "../wire/types.js";
import type * as peers from "./peers.js";
import type * as stores from "./store.js";

/** An era lasts at least so long, unless it has many ids. */
export const ERA_MS = 10 * 60_000;
/** With so many ids remembered an era ends sooner. */
export const MANY_IDS = 60_000;
/** The shortest era, however many ids there are. */
const MIN_MS = 10_000;

/** Moves the own era on. */
export class Eras {
  private since: types.SteadyMs;

  constructor(
    private readonly clock: types.Clock,
    private readonly store: stores.TallyStore,
  ) {
    this.since = clock.now();
  }

  /** Called each second with all members; null where one of them was never met. */
  turn(members: readonly peers.Peer[] | null): void {
    const { store } = this;
    if (!members || !store.isWhole || !this.isDue()) return;
    const mayEnd = members.every((peer) => peer.era >= store.ledger.era && this.holdsAllOf(peer));
    if (!mayEnd || store.durableEra < store.ledger.era) return;
    this.since = this.clock.now();
    void store.enterEra(store.ledger.era + 1);
  }

  private isDue(): boolean {
    const elapsed = this.clock.now() - this.since;
    return elapsed >= ERA_MS || (elapsed >= MIN_MS && this.store.ledger.ids >= MANY_IDS);
  }

  private holdsAllOf(peer: peers.Peer): boolean {
    for (const [stream, position] of peer.held) if (this.store.durableOf(stream) < position) return false;
    return true;
  }
}
