/**
 * Advances the era in which ids are remembered (design/tallies 6). A node enters the next era only when every member has
 * reported the current one and this disk holds all that they reported. Members' eras are therefore at most one apart, and an id
 * is forgotten everywhere before any node could take a repeat for a new add.
 */
import type * as types from "../wire/types.js";
import type * as peerTable from "./peer-table.js";
import type * as counterStore from "./counter-store.js";

/** The minimum duration of an era, unless it has many ids. */
export const ERA_DURATION_MS = 10 * 60_000;
/** With this many remembered ids an era ends sooner. */
export const MANY_IDS = 60_000;
/** The shortest era, however many ids there are. */
const MIN_ERA_DURATION_MS = 10_000;

/** Advances the era of this node. */
export class EraAdvancer {
  private enteredAt: types.SteadyMs;

  constructor(
    private readonly clock: types.Clock,
    private readonly store: counterStore.CounterStore,
  ) {
    this.enteredAt = clock.now();
  }

  /** Called each second with all members; null while one of them was never met. */
  advanceIfDue(members: readonly peerTable.Peer[] | null): void {
    const { store } = this;
    if (!members || !store.isComplete || !this.isDue()) return;
    const mayEnd = members.every((peer) => peer.era >= store.state.era && this.holdsAllOf(peer));
    if (!mayEnd || store.durableEra < store.state.era) return;
    this.enteredAt = this.clock.now();
    void store.enterEra(store.state.era + 1);
  }

  private isDue(): boolean {
    const elapsed = this.clock.now() - this.enteredAt;
    return elapsed >= ERA_DURATION_MS || (elapsed >= MIN_ERA_DURATION_MS && this.store.state.ids >= MANY_IDS);
  }

  private holdsAllOf(peer: peerTable.Peer): boolean {
    for (const [stream, position] of peer.durableOffsets) if (this.store.durableOffset(stream) < position) return false;
    return true;
  }
}
