// The control node's side of usage (design/usage 3, 4): pictures of the regions, told as differences in the topics
// `cell:REGION`, and in short in the topic `summary`.
import * as feeds from "../feed/feed.js";
import * as marks from "../signs/marks.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as pictures from "./picture.js";
import * as quantum from "./quantum.js";
import * as summaries from "./summary.js";

/** Summaries are told together so often, if anything moved (*ours*). */
const SUMMARY_MS = 1800;

/** The key of a runner's item: its mark, or its id where the mark would name another too. */
export function keyOf(known: marks.Marks<types.RunnerId>, id: types.RunnerId): string {
  const mark = known.markOf(id);
  return mark === null ? `=${id}` : (mark >>> 0).toString(36);
}

export class Publisher {
  private readonly pictures = new Map<string, pictures.Picture>();
  private readonly marks = new marks.Marks<types.RunnerId>();
  private instances: readonly schema.Instance[] = [];
  private regions: ReadonlyMap<types.RunnerId, string> = new Map();
  private readonly capacities = new Map<types.RunnerId, number>();
  private readonly summed = new Map<string, schema.Summary>();
  private summedAt = -Infinity;

  constructor(
    private readonly world: types.World,
    private readonly feed: Pick<feeds.Feed, "publish" | "amend">,
  ) {}

  private pictureOf(region: string): pictures.Picture {
    let picture = this.pictures.get(region);
    if (!picture) {
      picture = new pictures.Picture(region);
      this.pictures.set(region, picture);
    }
    return picture;
  }

  /** The list, and the regions of its runners. */
  takeList(instances: readonly schema.Instance[], regions: ReadonlyMap<types.RunnerId, string>): void {
    this.instances = instances;
    this.regions = regions;
    this.marks.takeList(regions.keys());
    this.capacities.clear();
    for (const instance of instances) this.capacities.set(instance.id, instance.capacity);
    for (const picture of this.pictures.values()) {
      picture.forgetAllBut(regions);
      // The time of reading stands: a new list is no report.
      if (Number.isFinite(picture.heardAt))
        this.feed.publish(feeds.cellTopic(picture.region), this.items([...picture.told.values()]), types.small(picture.heardAt));
    }
  }

  /** What the orchestrator of the region tells of what it read. */
  differ(region: string, reports: readonly schema.Report[]): schema.Report[] {
    return this.pictureOf(region).differ(reports, this.capacities);
  }

  whole(region: string): schema.Report[] {
    return [...this.pictureOf(region).told.values()];
  }

  /** Told by the orchestrator of the region, here or at a sibling. */
  take(report: schema.CellReport): void {
    const now = this.world.now();
    this.pictureOf(report.region).take(report.reports, now);
    this.feed.amend(feeds.cellTopic(report.region), this.items(report.reports), types.small(now));
  }

  private items(reports: readonly schema.Report[]): Map<string, Buffer> {
    const items = new Map<string, Buffer>();
    for (const report of reports) items.set(keyOf(this.marks, report.id), quantum.bodyOf(report));
    return items;
  }

  turn(): void {
    const now = this.world.now();
    if (now - this.summedAt < SUMMARY_MS) return;
    this.summedAt = now;
    const standing = new Map<string, schema.Summary>();
    for (const picture of this.pictures.values()) {
      const here = this.instances.filter(isHere.bind(null, this.regions, picture.region));
      for (const [service, summary] of summaries.summarise(picture, here, now)) {
        const key = summaries.keyOf(picture.region, service);
        standing.set(key, summaries.settled(this.summed.get(key), summary));
      }
    }
    this.summed.clear();
    const items = new Map<string, Buffer>();
    for (const [key, summary] of standing) {
      this.summed.set(key, summary);
      items.set(key, schema.summary.toBuffer(summary));
    }
    this.feed.publish(summaries.SUMMARY_TOPIC, items, types.small(now));
  }

  status(): schema.CellReport[] {
    const reports: schema.CellReport[] = [];
    for (const { region } of this.pictures.values()) reports.push({ region, reports: this.whole(region) });
    return reports;
  }
}

function isHere(regions: ReadonlyMap<types.RunnerId, string>, region: string, instance: schema.Instance): boolean {
  return regions.get(instance.id) === region;
}
