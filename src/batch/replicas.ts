/**
 * Spreads records over the voters of the batch register (design/batch 5). A record counts as durable once disks that
 * make a quorum of the voters hold it; records are written once, so any copy is the record. Voters that lack a record
 * which the table names fetch it from the others.
 */
import * as registerValue from "../register/register-value.js";
import type * as schema from "../wire/batch-schema.js";
import * as calls from "../wire/calls.js";
import type * as link from "../wire/link.js";
import type * as registerSchema from "../wire/register-schema.js";
import * as types from "../wire/types.js";
import * as log from "../runtime/log.js";
import * as items from "./items.js";
import * as records from "./records.js";

const PUT_TIMEOUT_MS = 2000;
const GET_TIMEOUT_MS = 1500;
/** Records fetched from others in one repair. */
const MAX_FETCHES_PER_REPAIR = 32;

/** The voters of the batch register, as this node reaches them. */
export interface Voters {
  /** The newest value known to be chosen. */
  readonly chosen: registerSchema.Value | null;
  /** The own disk; empty while it has no vote. */
  readonly disk: string;
  isOwn(voter: registerSchema.Voter): boolean;
  linkTo(voter: registerSchema.Voter): link.Link | null;
}

/** `absent`: a quorum says that it holds no such record; `unknown`: too few replied. */
export type LookupResult = { kind: "found"; body: Buffer } | { kind: "absent" } | { kind: "unknown" };

/** The records as all voters hold them together. */
export class Replicas {
  constructor(
    private readonly clock: types.Clock,
    private readonly voters: Voters,
    private readonly own: records.Records,
  ) {}

  /** Handles put and get calls of other control nodes. */
  registerHandlers(handlers: link.Handlers): void {
    handlers.on(calls.recordPut, (_from, request) => this.putOwn(request, request.body));
    handlers.on(calls.recordGet, (_from, request) => this.getOwn(request));
  }

  private async putOwn(key: schema.RecordKey, body: Buffer): Promise<schema.RecordKept> {
    const { disk } = this.voters;
    return { disk, isKept: disk !== "" && (await this.own.put(key, body)) };
  }

  private async getOwn(key: schema.RecordKey): Promise<schema.RecordFound> {
    return { disk: this.voters.disk, body: await this.own.get(key) };
  }

  /** True once disks that make a quorum hold the record; false: it may be on some of them. */
  async put(key: schema.RecordKey, body: Buffer): Promise<boolean> {
    const putAt = (voter: registerSchema.Voter): Promise<schema.RecordKept | null> => {
      if (this.voters.isOwn(voter)) return this.putOwn(key, body);
      return this.voters.linkTo(voter)?.call(calls.recordPut, { ...key, body }, PUT_TIMEOUT_MS) ?? Promise.resolve(null);
    };
    const holders = new Set<string>();
    await this.askVoters(putAt, PUT_TIMEOUT_MS, (reply) => {
      if (reply.isKept) holders.add(reply.disk);
      return this.isQuorum(holders);
    });
    return this.isQuorum(holders);
  }

  /** Looks on the own disk first, then on all others. */
  async find(key: schema.RecordKey): Promise<LookupResult> {
    const here = await this.own.get(key);
    if (here) return { kind: "found", body: here };
    const getFrom = (voter: registerSchema.Voter): Promise<schema.RecordFound | null> => {
      if (this.voters.isOwn(voter)) return this.getOwn(key);
      return this.voters.linkTo(voter)?.call(calls.recordGet, key, GET_TIMEOUT_MS) ?? Promise.resolve(null);
    };
    const without = new Set<string>();
    let body: Buffer | null = null;
    await this.askVoters(getFrom, GET_TIMEOUT_MS, (reply) => {
      body ??= reply.body;
      if (!reply.body) without.add(reply.disk);
      return body !== null;
    });
    if (body) return { kind: "found", body };
    return { kind: this.isQuorum(without) ? "absent" : "unknown" };
  }

  private isQuorum(disks: ReadonlySet<string>): boolean {
    const { chosen } = this.voters;
    return chosen !== null && registerValue.isQuorum(chosen, disks);
  }

  /** Asks all voters at once; ends when `isEnough` says so, when all have replied, or after the time. */
  private askVoters<Reply>(
    send: (voter: registerSchema.Voter) => Promise<Reply | null>,
    timeoutMs: number,
    isEnough: (reply: Reply) => boolean,
  ): Promise<void> {
    const { chosen } = this.voters;
    const voters = chosen ? [...registerValue.allVoters(chosen).values()] : [];
    if (voters.length === 0) return Promise.resolve();
    let open = voters.length;
    return new Promise((resolve) => {
      const timer = this.clock.schedule(timeoutMs, resolve);
      const end = (): void => {
        timer.stop();
        resolve();
      };
      const onReply = (reply: Reply | null): void => {
        open -= 1;
        if ((reply !== null && isEnough(reply)) || open === 0) end();
      };
      for (const voter of voters) void send(voter).then(onReply, () => onReply(null));
    });
  }

  /** Fetches records that the table names and this disk lacks; drops those of batches that it does not name. */
  async repair(table: schema.BatchTable): Promise<void> {
    await this.own.retainOnly(new Set(table.batches.map((batch) => batch.digest)));
    if (this.voters.disk === "") return;
    let fetched = 0;
    for (const key of recordsOf(table)) {
      if (fetched >= MAX_FETCHES_PER_REPAIR) return;
      if (await this.own.has(key)) continue;
      fetched += 1;
      const found = await this.find(key);
      if (found.kind !== "found") log.count("batch.record_missing");
      else if (await this.own.put(key, found.body)) log.count("batch.record_fetched");
    }
  }
}

/** All records that a table names: each submission, and the result of each item that is done. */
export function* recordsOf(table: schema.BatchTable): Generator<schema.RecordKey> {
  for (const { digest, items: packed } of table.batches) {
    yield { digest, ...records.SUBMISSION };
    for (const item of items.indexesOf(packed, "done")) yield { digest, item, attempt: items.itemAt(packed, item).attempt };
  }
}
