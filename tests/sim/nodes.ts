/** Nodes as the membership tests name them. */
import type * as schema from "../../src/wire/schema.js";
import * as fleets from "./fleet.js";

export function router(name: string, more: Partial<schema.NodeInfo> = {}): schema.NodeInfo {
  return { ...fleets.nodeOf(name, "router", "r", ""), ...more };
}
