// What operators saw, and the checker: is there one order of all changes that explains it (linearizability)?

/** An order is sent once or many times, with the same mark each time. */
export interface Sending {
  mark: string;
  base: number;
  revision: number;
  startMs: number;
  endMs: number;
  reply: "confirmed" | "refused" | "unclear";
}

/** A read that was answered. */
export interface Read {
  revision: number;
  /** The order that made this revision, "" before the first. */
  mark: string;
  startMs: number;
  endMs: number;
}

export interface History {
  sendings: Sending[];
  reads: Read[];
}

/** All that operators learnt of one order. */
interface Order {
  mark: string;
  base: number;
  revision: number;
  firstSentMs: number;
  /** Infinity: never confirmed. */
  confirmedMs: number;
  isSeen: boolean;
}

function ordersOf(history: History): Map<string, Order> {
  const orders = new Map<string, Order>();
  for (const sending of history.sendings) {
    const { mark, base, revision, startMs } = sending;
    const order = orders.get(mark) ?? { mark, base, revision, firstSentMs: startMs, confirmedMs: Infinity, isSeen: false };
    order.firstSentMs = Math.min(order.firstSentMs, startMs);
    if (sending.reply === "confirmed") {
      order.confirmedMs = Math.min(order.confirmedMs, sending.endMs);
      order.isSeen = true;
    }
    orders.set(mark, order);
  }
  return orders;
}

/** Revisions only grow, so that each names one state; the orders behind two states must differ in base and revision. */
function checkStates(orders: ReadonlyMap<string, Order>, reads: readonly Read[]): string | null {
  for (const read of reads) {
    if (read.mark === "") {
      if (read.revision !== 0) return `a read saw revision ${read.revision} of no order`;
      continue;
    }
    const order = orders.get(read.mark);
    if (!order || order.revision !== read.revision) return `a read saw revision ${read.revision} of ${read.mark}, which nobody ordered`;
    if (read.endMs < order.firstSentMs) return `a read saw ${read.mark} before it was sent`;
    order.isSeen = true;
  }
  const byBase = new Map<number, string>();
  const byRevision = new Map<number, string>();
  for (const order of orders.values()) {
    if (!order.isSeen) continue;
    const sameBase = byBase.get(order.base);
    if (sameBase) return `two changes stand on base ${order.base}: ${sameBase} and ${order.mark}`;
    const sameRevision = byRevision.get(order.revision);
    if (sameRevision) return `two changes made revision ${order.revision}: ${sameRevision} and ${order.mark}`;
    byBase.set(order.base, order.mark);
    byRevision.set(order.revision, order.mark);
  }
  return checkChain(orders, byRevision);
}

/** Between the base of a change that stands and its revision no other may stand. */
function checkChain(orders: ReadonlyMap<string, Order>, byRevision: ReadonlyMap<number, string>): string | null {
  for (const order of orders.values()) {
    if (!order.isSeen) continue;
    for (const [revision, mark] of byRevision) {
      if (revision > order.base && revision < order.revision)
        return `${mark} (revision ${revision}) stands between ${order.mark} and its base`;
    }
  }
  return null;
}

/** Real time: what began after a confirmation or a read is not older than it. */
function checkTimes(orders: ReadonlyMap<string, Order>, reads: readonly Read[]): string | null {
  const seen = [...orders.values()].filter(isSeen);
  for (const order of seen) {
    for (const read of reads) {
      if (order.confirmedMs < read.startMs && read.revision < order.revision)
        return `a read saw revision ${read.revision} after ${order.mark} (${order.revision}) was confirmed`;
      if (read.endMs < order.firstSentMs && read.revision >= order.revision)
        return `${order.mark} came in below an earlier read of ${read.revision}`;
    }
    for (const later of seen) {
      if (order.confirmedMs < later.firstSentMs && later.revision <= order.revision)
        return `${later.mark} was sent after ${order.mark} was confirmed, and stands below it`;
    }
  }
  for (const read of reads) {
    for (const later of reads) {
      if (read.endMs < later.startMs && later.revision < read.revision) return `reads went back from ${read.revision} to ${later.revision}`;
    }
  }
  return null;
}

function isRefusal(sending: Sending): boolean {
  return sending.reply === "refused";
}

function markOf(sending: Sending): string {
  return sending.mark;
}

function isSeen(order: Order): boolean {
  return order.isSeen;
}

/** A refusal needs a moment within its call at which another revision than the base was in place. */
function checkRefusals(orders: ReadonlyMap<string, Order>, history: History): string | null {
  const refusals = history.sendings.filter(isRefusal);
  const refusedMarks = new Set(refusals.map(markOf));
  for (const refused of refusals) {
    const order = orders.get(refused.mark) as Order;
    if (order.isSeen) return `${refused.mark} was taken, and refused at ${Math.round(refused.startMs)} ms`;
    if (!mayBeRefused(refused, orders, refusedMarks)) return `${refused.mark} was refused, while its base ${refused.base} was in place`;
  }
  return null;
}

/** Bases come from reads and confirmations, so that the base was in place once: something above it must have come before the refusal. */
function mayBeRefused(refused: Sending, orders: ReadonlyMap<string, Order>, refusedMarks: ReadonlySet<string>): boolean {
  for (const other of orders.values()) {
    const isTaken = other.isSeen || !refusedMarks.has(other.mark);
    if (isTaken && other.mark !== refused.mark && other.firstSentMs <= refused.endMs && other.revision > refused.base) return true;
  }
  return false;
}

/** Null: explained. Else one sentence about what cannot be. */
export function check(history: History): string | null {
  const orders = ordersOf(history);
  return checkStates(orders, history.reads) ?? checkTimes(orders, history.reads) ?? checkRefusals(orders, history);
}
