/**
 * Recovers the attempts that were in flight when a term began (design/batch 7). Each counts as in flight until its
 * longest possible duration has passed; a recorded result counts, whoever recorded it. An attempt without a result may
 * have run, so that its item is sent again only if it is repeatable.
 */
import type * as schema from "../wire/batch-schema.js";
import type * as types from "../wire/types.js";
import * as items from "./items.js";
import type * as replicas from "./replicas.js";
import type * as steps from "./steps.js";
import * as tables from "./table.js";

/** Added to an attempt's longest duration: the former owner may have sent late, and records an answer after it arrives. */
const EXPIRY_MARGIN_MS = 5000;
const CHECK_INTERVAL_MS = 1000;

/** What the recovery depends on. */
export interface RecoveryDependencies {
  readonly clock: types.Clock;
  readonly replicas: Pick<replicas.Replicas, "put" | "find">;
  longestMs(route: string): number;
}

interface UnresolvedAttempt extends steps.ItemRef {
  key: schema.RecordKey;
  expiresAt: number;
}

/** Finds out how the former owner's attempts ended; one check of the records runs at a time. */
export class AttemptRecovery {
  readonly term: number;
  private readonly unresolved = new Map<string, UnresolvedAttempt>();
  private endedAttempts: steps.EndedAttempt[] = [];
  private checkedAt: types.SteadyMs;
  private isChecking = false;

  constructor(
    private readonly dependencies: RecoveryDependencies,
    table: schema.BatchTable,
  ) {
    this.term = table.term;
    this.checkedAt = dependencies.clock.now();
    for (const batch of tables.openBatches(table)) this.addSentItems(batch);
  }

  private addSentItems(batch: schema.Batch): void {
    const expiresAt = this.dependencies.clock.now() + this.dependencies.longestMs(batch.route) + EXPIRY_MARGIN_MS;
    for (const index of items.indexesOf(batch.items, "sent")) {
      const { attempt } = items.itemAt(batch.items, index);
      const key = { digest: batch.digest, item: index, attempt };
      this.unresolved.set(`${batch.number}/${index}`, { number: batch.number, index, attempt, key, expiresAt: expiresAt });
    }
  }

  /** Removes and returns the ends found since the last call; starts another check when one is due. */
  takeEndedAttempts(): steps.EndedAttempt[] {
    const now = this.dependencies.clock.now();
    if (this.unresolved.size > 0 && !this.isChecking && now - this.checkedAt >= CHECK_INTERVAL_MS) void this.checkUnresolved();
    const ended = this.endedAttempts;
    this.endedAttempts = [];
    return ended;
  }

  private async checkUnresolved(): Promise<void> {
    this.isChecking = true;
    for (const [name, item] of this.unresolved) {
      const found = await this.dependencies.replicas.find(item.key);
      const isExpired = this.dependencies.clock.now() >= item.expiresAt;
      if (found.kind === "found") await this.confirmFound(name, item, found.body);
      else if (found.kind === "absent" && isExpired) this.recordEnd(name, item, "may_have_run");
    }
    this.checkedAt = this.dependencies.clock.now();
    this.isChecking = false;
  }

  /** The former owner may have crashed with too few replicas written: the record reaches a quorum first. */
  private async confirmFound(name: string, item: UnresolvedAttempt, body: Buffer): Promise<void> {
    if (await this.dependencies.replicas.put(item.key, body)) this.recordEnd(name, item, "done");
  }

  private recordEnd(name: string, { number, index, attempt }: UnresolvedAttempt, end: steps.AttemptEnd): void {
    this.unresolved.delete(name);
    this.endedAttempts.push({ number, index, attempt, end: end });
  }
}
