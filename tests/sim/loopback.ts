// Settings of small systems over real loopback sockets and disks, one region a control node.
import * as settings from "../../src/settings/settings.js";

export const REGIONS = ["a", "b", "c"];

/** Ports of one system: tests that run side by side take others. */
export interface Ports {
  control: number;
  directory: number;
  internal: string;
  frontend: number;
  readiness: number;
}

export interface Loopback {
  /** The first two numbers of its addresses. */
  net: string;
  ports: Ports;
  /** Address of the platform's list. */
  platform: string;
  /** Lines besides the usual ones. */
  extra?: string[];
}

export function controlAddress({ net, ports }: Loopback, index: number): string {
  return `${net}.${index + 1}.1:${ports.control}`;
}

/** disk: data_dir of a control node. */
export function startupOf(system: Loopback, role: "control" | "router", index: number, disk: string, isFirst: boolean): settings.Settings {
  const { net, ports, platform, extra = [] } = system;
  const ip = `${net}.${index + 1}.${role === "control" ? 1 : 2}`;
  const lines = [
    `node_name=${role}-${REGIONS[index]}`,
    `ip_address=${ip}`,
    `zone=${REGIONS[index]}1`,
    `region=${REGIONS[index]}`,
    ...REGIONS.map((region) => `zones.${region}1=${region}`),
    `internal_port_range=${ports.internal}`,
    `seed_nodes=${[0, 1, 2].map((seed) => controlAddress(system, seed)).join(",")}`,
    `bootstrap=${isFirst}`,
    `failure_counted=${role === "control"}`,
    "limits.memory_mb=128",
    "limits.max_open_files=512",
    `cloud_api.address=${platform}`,
    "cloud_api.rate_per_s=20",
    "bounds.grace_s=1",
    ...extra,
  ];
  if (role === "control") {
    lines.push(
      `bind_addresses.control_plane=${ip}:${ports.control}`,
      `bind_addresses.directory=${ip}:${ports.directory}`,
      `data_dir=${disk}`,
    );
  } else lines.push(`bind_addresses.frontend=${ip}:${ports.frontend}`, `bind_addresses.readiness=${ip}:${ports.readiness}`);
  return settings.parse(lines.join("\n")).unwrapOrElse((error) => {
    throw error;
  });
}

/** Turns the event loop until it is so; throws after so many milliseconds. */
export async function until(what: string, withinMs: number, isSo: () => boolean | Promise<boolean>): Promise<void> {
  const before = performance.now();
  while (!(await isSo())) {
    if (performance.now() - before > withinMs) throw new Error(`not so in time: ${what}`);
    await new Promise(setImmediate);
  }
}
