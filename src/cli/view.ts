/** A node's status as lines for people (design 10.2). The interfaces name what is read of its JSON. */
import type * as voterDisk from "../control/voters/voter-disk.js";
import type * as serveGate from "../router/serve-gate.js";
import type * as counts from "../wire/counts.js";
import type * as schema from "../wire/schema.js";
import type * as vitals from "../runtime/vitals.js";

interface ControlStatus {
  node: schema.NodeInfo;
  isSettled: boolean;
  disk: voterDisk.DiskStatus | null;
  contact: { isConfirmed: boolean; isLeaving: boolean; sinceMs: number; voters: number; confirming: number };
  register: { epoch: number; revision: number; evacuations: string[]; voters: schema.Voter[]; former: schema.Voter[] } | null;
  members: { control: schema.NodeInfo[]; router: schema.NodeInfo[] };
  cells: { instances: schema.Instance[]; reports: schema.CellReport[] };
  counters: Record<string, number>;
  vitals: vitals.Vitals;
  links: Record<string, counts.LinkCount>;
}

interface RouterStatus {
  node: schema.NodeInfo;
  following: string | null;
  configuration: serveGate.GateStatus;
  routers: number;
  sharesValid: boolean;
  runners: { id: string; service: string; zone: string; status: string; inflight: number; usage: number }[];
  counters: Record<string, number>;
  vitals: vitals.Vitals;
  links: Record<string, counts.LinkCount>;
}

/** The status of a control node or a router, a line an item. */
export function lines(json: unknown): string[] {
  const { node } = json as { node: schema.NodeInfo };
  return node.role === "control" ? controlLines(json as ControlStatus) : routerLines(json as RouterStatus);
}

function controlLines(status: ControlStatus): string[] {
  const { register, members, cells } = status;
  const made = [
    `node      ${status.node.name} (control, ${status.node.zone}), ${status.isSettled ? "reaches a majority" : "reaches NO majority"}`,
    contactLine(status.contact),
  ];
  if (status.disk) made.push(`disk      ${status.disk.state}${status.disk.error && `: ${status.disk.error}`}`);
  if (register) {
    made.push(`register  epoch ${register.epoch}, revision ${register.revision}, evacuated: ${register.evacuations.join(", ") || "none"}`);
    for (const voter of register.voters) made.push(`voter     ${voter.address} ${voter.node} ${voter.disk}`);
    if (register.former.length > 0) made.push("voter     a change of voters is under way");
  } else made.push("register  not read yet");
  for (const node of members.control) made.push(`control   ${node.name} ${node.zone}`);
  for (const node of members.router)
    made.push(`router    ${node.name} ${node.zone} ${node.isReady ? "ready" : "not ready"}, epoch in force ${node.epoch}, ${node.outside}`);
  for (const report of cells.reports) {
    const silent = report.reports.filter(isSilent).length;
    made.push(`cell      ${report.region}: ${report.reports.length} runners report, ${silent} silent`);
  }
  for (const item of cells.instances)
    made.push(
      `runner    ${item.id} ${item.service} ${item.zone} ${item.address}${item.isDraining ? " draining" : ""}${item.coldMs > 0 ? " cold" : ""}`,
    );
  return [...made, ...resourceLines(status.vitals, status.links), ...counterLines(status.counters)];
}

function contactLine(contact: ControlStatus["contact"]): string {
  const word = contact.isLeaving ? "leaving" : contact.isConfirmed ? "confirmed" : "NOT confirmed";
  return `contact   ${word} for ${(contact.sinceMs / 1000).toFixed(1)} s; ${contact.confirming} of ${contact.voters} voters confirm`;
}

function routerLines(status: RouterStatus): string[] {
  const made = [
    `node      ${status.node.name} (router, ${status.node.zone}), ${status.node.isReady ? "ready" : "not ready"}`,
    `config    epoch ${status.node.epoch} in force, following ${status.following ?? "nobody"}, ${confirmedText(status.configuration)}`,
    `shares    one of ${status.routers} routers, ${status.sharesValid ? "leased" : "no owner grants"}`,
  ];
  for (const runner of status.runners)
    made.push(
      `runner    ${runner.id} ${runner.service} ${runner.zone} ${runner.status}, ${runner.inflight} from here, usage ${runner.usage}`,
    );
  return [...made, ...resourceLines(status.vitals, status.links), ...counterLines(status.counters)];
}

function confirmedText({ confirmedMsAgo, isExpired }: serveGate.GateStatus): string {
  if (isExpired) return "NOT served: confirmed too long ago";
  return confirmedMsAgo === null ? "never confirmed" : `confirmed ${(confirmedMsAgo / 1000).toFixed(1)} s ago`;
}

function resourceLines(usage: vitals.Vitals, links: Record<string, counts.LinkCount>): string[] {
  const made = [
    `process   ${(usage.cpuMs / 1000).toFixed(1)} s of processor time, ${usage.memoryMb.toFixed(0)} MB, loop late ${usage.loopP99Ms.toFixed(1)} ms (99 in 100), ${usage.descriptors} descriptors`,
  ];
  for (const [name, count] of Object.entries(links).sort())
    made.push(
      `frames    ${name}: told ${count.framesTold} (${count.bytesTold} bytes), heard ${count.framesHeard} (${count.bytesHeard} bytes)`,
    );
  return made;
}

function isSilent(report: schema.Report): boolean {
  return !report.isSpeaking;
}

function counterLines(counters: Record<string, number>): string[] {
  return Object.entries(counters).sort().map(counterLine);
}

function counterLine([name, value]: [string, number]): string {
  return `counter   ${name} ${value}`;
}
