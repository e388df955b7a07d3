/** The names of the feed's topics (design/parts 1.1). */

/** The configuration, its evacuations and routes. */
export const REGISTER_TOPIC = "register";
/** The key of a topic's only item. */
export const ALL_KEY = "all";
/** Stands for zones that the settings do not name. */
export const NO_REGION = "";
const LIST_PREFIX = "list:";
/** The topic of a region's part of the platform's list. */
export function listTopic(region: string): string {
  return LIST_PREFIX + region;
}
/** Whether a topic is a part of the platform's list. */
export function isListTopic(topic: string): boolean {
  return topic.startsWith(LIST_PREFIX);
}
const CELL = "cell:";
/** The topic of a region's reports. */
export function cellTopic(region: string): string {
  return `${CELL}${region}`;
}

/** Null for other topics. */
export function regionOf(topic: string): string | null {
  return topic.startsWith(CELL) ? topic.slice(CELL.length) : null;
}
