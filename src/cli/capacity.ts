/**
 * `cranewind capacity`: how much more the running fleet can take, a cell and service a row (design/admission 6).
 * Rooms come from any node; what a request of a kind usually takes comes from routers.
 */
import type * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as cellCapacity from "../admission/cell-capacity.js";
import * as commands from "./commands.js";

interface CellRoom {
  region: string;
  service: string;
  room: cellCapacity.CellCapacity;
}

interface KindStatus {
  route: string;
  service: string;
  count: number;
  tokens: number;
  unread: number;
  heldMs: number;
}

interface NodeStatus {
  node: schema.NodeInfo;
  cells?: { instances: schema.Instance[]; reports: schema.CellReport[] };
  admission?: { rate: number; cells: CellRoom[]; kinds: KindStatus[] };
}

/** A row of the output; with --json these names are printed. */
export interface Row extends CellRoom {
  /** Requests a second that still fit, were all of this kind; null where nothing bounds it yet. */
  kinds: { route: string; requests_per_s: number | null }[];
}

/** Rooms by the reports that a control node has. */
export function roomsOf(instances: readonly schema.Instance[], reports: readonly schema.CellReport[]): CellRoom[] {
  const byId = new Map<string, schema.Instance>();
  for (const instance of instances) byId.set(instance.id, instance);
  const made: CellRoom[] = [];
  for (const { region, reports: items } of reports) {
    const services = new Map<string, cellCapacity.SlotUsage[]>();
    for (const item of items) {
      const instance = byId.get(item.id);
      if (!instance || instance.isDraining || !item.isSpeaking) continue;
      const places = services.get(instance.service) ?? [];
      places.push({
        capacity: instance.capacity,
        used: item.active + item.waiting,
        waiting: item.waiting,
        kvUsed: item.kvUsed,
        kvCapacity: item.kvCapacity,
        backlogMs: 0,
      });
      services.set(instance.service, places);
    }
    for (const [service, places] of services) made.push({ region, service, room: cellCapacity.sumCapacity(places) });
  }
  return made;
}

/** Rows from the statuses of several nodes: a later one replaces what an earlier one says of the same cell. */
export function rowsOf(statuses: readonly NodeStatus[]): Row[] {
  const cells = new Map<string, CellRoom>();
  const kinds = new Map<string, KindStatus>();
  let rate = 0;
  for (const { cells: control, admission } of statuses) {
    const found = control ? roomsOf(control.instances, control.reports) : (admission?.cells ?? []);
    for (const cell of found) cells.set(`${cell.region}|${cell.service}`, cell);
    for (const kind of admission?.kinds ?? []) kinds.set(kind.route, kind);
    rate = Math.max(rate, admission?.rate ?? 0);
  }
  function rowOf(cell: CellRoom): Row {
    function isHere(kind: KindStatus): boolean {
      return kind.service === cell.service;
    }
    function perS(kind: KindStatus): { route: string; requests_per_s: number | null } {
      const most = cellCapacity.requestsPerS(cell.room, {
        tokens: kind.tokens,
        prefillMs: rate > 0 ? kind.unread / rate : 0,
        occupancyMs: kind.heldMs,
      });
      return { route: kind.route, requests_per_s: Number.isFinite(most) ? Math.round(most * 10) / 10 : null };
    }
    return { region: cell.region, service: cell.service, room: cell.room, kinds: [...kinds.values()].filter(isHere).map(perS) };
  }
  return [...cells.values()].map(rowOf);
}

/** The rows as lines for people. */
export function lines(rows: readonly Row[]): string[] {
  const made: string[] = [];
  for (const { region, service, room, kinds } of rows) {
    made.push(
      `room      ${region} ${service}: ${room.freePlaces} of ${room.places} places, ${room.freeTokens} of ${room.tokens} tokens, ` +
        `${Math.round(room.readMs)} ms of reading in the next second, ${room.waiting} waiting, ${room.runners} runners`,
    );
    for (const kind of kinds) made.push(`more      ${region} ${service} ${kind.route}: ${kind.requests_per_s ?? "any"} requests/s`);
  }
  return made.length > 0 ? made : ["no runner reports; ask a control node, or a router that follows one"];
}

/** Asks each address, control or router; 3 when none replies. */
export async function capacity(
  clock: types.Clock,
  output: commands.Output,
  addresses: readonly string[],
  isJson: boolean,
): Promise<number> {
  const noAddress = "no address was given; name one with --control HOST:PORT";
  const statuses = await commands.statusesOf<NodeStatus>(clock, output, addresses, noAddress);
  if (typeof statuses === "number") return statuses;
  const rows = rowsOf(statuses);
  if (isJson) output.line(JSON.stringify(rows, null, 2));
  else for (const line of lines(rows)) output.line(line);
  return 0;
}
