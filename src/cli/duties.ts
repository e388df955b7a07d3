/** `cranewind duties`: who holds the duties at the platform, and what is open (design/duties 6). Reads the status of control nodes. */
import type * as dutySchema from "../wire/duty-schema.js";
import type * as schema from "../wire/schema.js";
import type * as types from "../wire/types.js";
import * as commands from "./commands.js";

/** What a control node's status tells of the duties. */
export interface DutyStatus {
  holder: string;
  fence: number;
  isHeldHere: boolean;
  remainingMs: number;
  /** -1: none is decided. */
  decidedThrough: number;
  openReports: number[];
  orders: dutySchema.RunnerOrder[];
}

/** The parts of a control node's status that are read here; `duties` is null where the settings name none. */
export interface NodeStatus {
  node: schema.NodeInfo;
  duties: DutyStatus | null;
  counters: Record<string, number>;
}

const COUNTERS = ["duties.claimed", "duties.renewal_failed", "duties.call_accepted", "duties.call_fenced", "duties.call_unknown"];

/** The lease and what is open as the node with the highest fence knows them, then a line a node. */
export function lines(statuses: readonly NodeStatus[]): string[] {
  const known = statuses.filter(hasDuties).sort((left, right) => right.duties.fence - left.duties.fence);
  if (known.length === 0) return ["duties    the settings name none, or no node knows of them yet"];
  const { duties } = known[0];
  const made = [
    `holder    ${duties.holder || "nobody"}, fence ${duties.fence}`,
    `usage     decided through window ${duties.decidedThrough}, not accepted yet: ${duties.openReports.join(", ") || "none"}`,
  ];
  for (const { service, zone, desired } of duties.orders) made.push(`order     ${service} in ${zone}: ${desired} runners`);
  for (const { node, duties: own, counters } of known) {
    const role = own.isHeldHere ? `holds the lease, ${own.remainingMs} ms left` : "stands by";
    const counted = COUNTERS.filter((name) => counters[name] > 0).map((name) => `${name} ${counters[name]}`);
    made.push(`node      ${node.name} ${role}${counted.length > 0 ? `; ${counted.join(", ")}` : ""}`);
  }
  return made;
}

function hasDuties(status: NodeStatus): status is NodeStatus & { duties: DutyStatus } {
  return status.duties !== null && status.duties !== undefined;
}

/** Prints the duties as the nodes that reply know them; the exit code. */
export async function duties(clock: types.Clock, output: commands.Output, addresses: string[], isJson: boolean): Promise<number> {
  const statuses = await commands.statusesOf<NodeStatus>(clock, output, addresses, "name control nodes by --control");
  if (typeof statuses === "number") return statuses;
  if (isJson) output.line(JSON.stringify(statuses.map(({ node, duties: own }) => ({ node: node.name, ...own }))));
  else for (const line of lines(statuses)) output.line(line);
  return commands.EXIT.ok;
}
