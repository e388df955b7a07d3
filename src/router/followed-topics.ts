/** The membership topics that a router follows (design/parts 3): all that its settings and routes may need. */
import * as feedTopics from "../feed/feed-topics.js";

/** The regions whose runners this router may need: all of the settings. */
export function neededRegions(zones: Readonly<Record<string, string>>): Set<string> {
  return new Set(Object.values(zones));
}

/** The topics that a router needs for these regions. */
export function topicsOf(regions: Iterable<string>): string[] {
  const topics = [feedTopics.listTopic(feedTopics.NO_REGION)];
  for (const region of regions) topics.push(feedTopics.listTopic(region));
  return topics;
}
