/** Nodes as the tests of the membership name them: zone and region "r" unless said otherwise. */
import type * as schema from "../../src/wire/schema.js";
import * as simulatedNodes from "./simulated-nodes.js";

export function node(name: string, role: string, more: Partial<schema.NodeInfo> = {}): schema.NodeInfo {
  return { ...simulatedNodes.nodeOf(name, role, "r", ""), ...more };
}

export function router(name: string, more: Partial<schema.NodeInfo> = {}): schema.NodeInfo {
  return node(name, "router", more);
}
