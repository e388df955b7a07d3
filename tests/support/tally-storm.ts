// Random histories of tallies: callers on all sides, cuts of every shape, crashes, losses of power and of disks, stalls.
import * as tallyChecker from "./tally-checker.js";
import * as tallyCluster from "./tally-cluster.js";
import * as tallyCuts from "./tally-cuts.js";

const TALLIES = ["t1", "t2"];
const STEP_MS = 20;
const SETTLE_MS = 9000;
/** Everything is up and joined again so long after the last trouble, at least. */
const CALM_MS = 6000;
/** No node can know sooner that a cut is over. */
const FOUND_MS = 600;
const REPEAT_SHARE = 0.25;
const READ_SHARE = 0.4;

/** How a history is played. */
export interface StormOptions {
  seed: number;
  nodes?: number;
  seconds?: number;
  weak?: tallyCluster.Weaknesses;
  /** Adds are sent again only so long after they were first sent, in ms; else at any time. */
  repeatsWithinMs?: number;
}

interface Trouble {
  until: number;
  isDiskLost: boolean;
  end(): void;
}

/** One history. */
export class TallyStorm {
  readonly cluster: tallyCluster.TallyCluster;
  readonly checker = new tallyChecker.TallyChecker();
  private cutsFound = 0;
  /** Since when each node has been up and able to reach enough others; Infinity: it is not. */
  private readonly joinedSince = new Map<string, number>();
  private readonly troubles = new Set<Trouble>();
  private readonly ids: { tally: string; id: string; amount: number; sentAt: number }[] = [];
  private calmSince = 0;
  private uncutSince = 0;
  /** The next node that acknowledges an add loses its disk at once. */
  private isWipeDue = false;
  private lastWipeAt = -Infinity;

  constructor(private readonly options: StormOptions) {
    const count = options.nodes ?? 5;
    this.cluster = new tallyCluster.TallyCluster(options.seed, count, Math.floor((count - 1) / 2), options.weak);
  }

  private get now(): number {
    return this.cluster.clock.now();
  }

  private chance(share: number): boolean {
    return this.cluster.clock.random() < share;
  }

  private below(count: number): number {
    return Math.floor(this.cluster.clock.random() * count);
  }

  private node(): tallyCluster.SimNode {
    return [...this.cluster.nodes.values()][this.below(this.cluster.nodes.size)];
  }

  /** Plays all of it and gives what was wrong. */
  async play(): Promise<string[]> {
    await this.cluster.play(SETTLE_MS);
    const until = this.now + (this.options.seconds ?? 25) * 1000;
    while (this.now < until) {
      this.step(true);
      await this.cluster.play(STEP_MS);
    }
    this.isWipeDue = false;
    for (const trouble of this.troubles) trouble.until = 0;
    this.step(false);
    await this.cluster.play(CALM_MS);
    await this.readAll();
    return this.checker.faults;
  }

  private watchMerges(): void {
    const usable = [...this.cluster.nodes.values()].filter((node) => node.life && !node.disk.isStalled);
    const areEnough = this.cluster.cuts.size === 0 && usable.length > this.cluster.tolerated;
    for (const node of this.cluster.nodes.values()) {
      const since = this.joinedSince.get(node.address) ?? Infinity;
      if (!areEnough || !usable.includes(node)) this.joinedSince.set(node.address, Infinity);
      else if (since === Infinity) this.joinedSince.set(node.address, this.now);
      else if (this.now - since > tallyChecker.MERGE_MS) this.checker.merged(node.address, this.now - tallyChecker.MERGE_MS);
    }
  }

  private step(mayBreak: boolean): void {
    this.watchMerges();
    for (const trouble of this.troubles) if (trouble.until <= this.now) this.endTrouble(trouble);
    if (mayBreak && this.troubles.size < 3 && this.chance(0.02)) this.beginTrouble();
    if (mayBreak && this.chance(0.5)) void this.call();
  }

  private times(): tallyChecker.Times {
    const calmSince = this.troubles.size > 0 ? Infinity : this.calmSince;
    const uncutSince = this.cutsFound > 0 ? Infinity : this.uncutSince;
    return { askedAt: this.now, calmSince, uncutSince };
  }

  private async call(): Promise<void> {
    const node = this.node();
    const { tallies } = node;
    if (!tallies) return;
    const place = { node: node.address, life: node.lives };
    if (this.chance(READ_SHARE)) {
      const tally = TALLIES[this.below(TALLIES.length)];
      const times = this.times();
      const total = await tallies.total(tally);
      if (total !== null) this.checker.read(tally, total, place, times);
      return;
    }
    await this.add(tallies, place);
  }

  private async add(tallies: NonNullable<tallyCluster.SimNode["tallies"]>, place: tallyChecker.Place): Promise<void> {
    const { checker } = this;
    const earliest = this.now - (this.options.repeatsWithinMs ?? Infinity);
    const repeatable = this.ids.filter((known) => known.sentAt >= earliest);
    const isRepeat = repeatable.length > 0 && this.chance(REPEAT_SHARE);
    const most = this.chance(0.5) ? Math.min(repeatable.length, 20) : repeatable.length;
    const name = { tally: TALLIES[this.below(TALLIES.length)], id: `id-${this.ids.length}` };
    const add = isRepeat ? repeatable[repeatable.length - 1 - this.below(most)] : { ...name, amount: 1 + this.below(9), sentAt: this.now };
    if (!isRepeat) this.ids.push(add);
    checker.send(add.tally, add.id, add.amount);
    const outcome = await tallies.add(add.tally, add);
    if (outcome === "busy" || outcome === "full") checker.refused(add.tally, add.id);
    if (outcome !== "added") return;
    checker.acknowledge(add.tally, add.id, place, this.now, this.cutsFound > 0);
    const acknowledging = this.cluster.nodes.get(place.node)!;
    if (this.isWipeDue && acknowledging.life) this.wipe(acknowledging);
  }

  private async readAll(): Promise<void> {
    for (const tally of TALLIES) {
      const totals = new Map<string, number | null>();
      for (const node of this.cluster.nodes.values()) {
        const total = node.tallies!.total(tally);
        await this.cluster.play(900);
        totals.set(node.address, await total);
        this.checker.read(tally, (await total) ?? 0, { node: node.address, life: node.lives }, this.times());
      }
      this.checker.end(tally, totals);
    }
  }

  private endTrouble(trouble: Trouble): void {
    this.troubles.delete(trouble);
    trouble.end();
    if (this.troubles.size === 0) this.calmSince = this.now;
  }

  private begin(ms: number, end: () => void, isDiskLost = false): void {
    this.troubles.add({ until: this.now + ms, end, isDiskLost });
  }

  private beginTrouble(): void {
    const kinds = [
      () => this.cut(),
      () => this.cut(),
      () => this.crash(),
      () => this.stall(),
      () => this.powerOff(),
      () => this.wipe(this.node()),
      () => (this.isWipeDue = true),
    ];
    kinds[this.below(kinds.length)]();
  }

  /** Two sides, a pair, or one way; routers of the other side are heard where only the core is cut. */
  private cut(): void {
    const { cluster } = this;
    if (cluster.cuts.size > 0) return;
    const addresses = [...cluster.nodes.keys()];
    cluster.cutsRouters = this.chance(0.7);
    for (const [from, to] of tallyCuts.draw(addresses, () => cluster.clock.random())) cluster.cuts.add(`${from}>${to}`);
    this.cutsFound += 1;
    this.begin(500 + this.below(12_000), () => {
      cluster.cuts.clear();
      cluster.clock.schedule(FOUND_MS, () => {
        this.cutsFound -= 1;
        this.uncutSince = this.now;
      });
    });
  }

  private crash(): void {
    const node = this.node();
    node.kill();
    this.begin(50 + this.below(3000), () => node.start());
  }

  private stall(): void {
    const { disk } = this.node();
    disk.isStalled = true;
    this.begin(200 + this.below(4000), () => (disk.isStalled = false));
  }

  private powerOff(): void {
    const isAll = this.chance(0.4);
    const nodes = isAll ? [...this.cluster.nodes.values()] : [this.node()];
    for (const node of nodes) {
      node.kill();
      node.disk.losePower();
    }
    for (const node of nodes) this.begin(100 + this.below(3000), () => node.start());
  }

  /** As many disks as may be lost at once; all other machines lose power, or not. The next ones only once all is joined. */
  private wipe(first: tallyCluster.SimNode): void {
    const { cluster } = this;
    this.isWipeDue = false;
    if (this.now - this.lastWipeAt < 8000 || [...this.troubles].some((trouble) => trouble.isDiskLost)) return;
    if (this.troubles.size > 0 && this.chance(0.5)) return;
    const isDark = this.chance(0.5);
    const nodes = [...cluster.nodes.values()];
    const lost = new Set([first]);
    while (lost.size < cluster.tolerated) lost.add(nodes[this.below(nodes.length)]);
    for (const node of nodes) {
      if (!lost.has(node) && !isDark) continue;
      node.kill();
      node.disk.losePower();
      if (lost.has(node)) {
        node.disk.wipe();
        node.wipes += 1;
        this.checker.wiped(node.address);
      }
      this.begin(
        300 + this.below(2500),
        () => {
          node.start();
          this.lastWipeAt = this.now;
        },
        true,
      );
    }
  }
}
