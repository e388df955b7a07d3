/** Usage of runners as routers follow it: a report in steps, and a region in short (design/usage 3, 4). */
import * as avro from "./avro.js";

/** A runner's report in the topic of its cell; the key names the runner. kvStep: sixty-fourths of kvCapacity (design/usage 3.1). */
export interface RunnerUsage {
  isSpeaking: boolean;
  active: number;
  waiting: number;
  kvStep: number;
  kvCapacity: number;
}
/** Codec of Usage. */
export const usage = avro.record<RunnerUsage>("Usage", [
  { name: "isSpeaking", type: "boolean" },
  { name: "active", type: "int" },
  { name: "waiting", type: "int" },
  { name: "kvStep", type: "int" },
  { name: "kvCapacity", type: "int" },
]);

/** One service in one region; usage and room in sixteenths of its capacity (design/usage 4.2). */
export interface CellSummary {
  isFresh: boolean;
  total: number;
  good: number;
  usage: number;
  room: number;
}
/** Codec of Summary. */
export const summary = avro.record<CellSummary>("Summary", [
  { name: "isFresh", type: "boolean" },
  { name: "total", type: "int" },
  { name: "good", type: "int" },
  { name: "usage", type: "int" },
  { name: "room", type: "int" },
]);
