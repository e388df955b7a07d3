/** Addresses, names, settings and the configuration of an experiment's nodes (design/experiment 2). */
import * as path from "node:path";
import type * as platformEmulator from "../emulator/platform-emulator.js";
import * as textHash from "../limits/text-hash.js";
import * as experiment from "./options.js";

const { REGIONS } = experiment;
const ZONES_EACH = 2;
const SERVICES = 12;
const CONTROL_PORT = 9101;
const DIRECTORY_PORT = 9102;
const FRONT_PORT = 9201;
const RUNNER_PORT = 8080;
const IN_A_ROW = 200;
const NETS = 60;

/** Experiments at the same time stay apart by their process ids. */
export function netOf(pid: number): number {
  return 60 + (pid % NETS);
}

function regionOf(index: number): string {
  return `region-${1 + (index % REGIONS)}`;
}

function zoneOf(index: number): string {
  return `${regionOf(index)}-${1 + (Math.floor(index / REGIONS) % ZONES_EACH)}`;
}

function zoneLines(): string[] {
  const lines: string[] = [];
  for (let index = 0; index < REGIONS * ZONES_EACH; index += 1) lines.push(`zones.${zoneOf(index)}=${regionOf(index)}`);
  return lines;
}

/** Names as unlike each other as real ones are: even ones would pack the configuration too well. */
function nameOf(kind: string, index: number): string {
  return `${kind}-${textHash.hashText(`${kind}/${index}`).toString(36)}`;
}

/** All names and addresses of one run; `net` keeps runs of several processes apart on loopback. */
export class Layout {
  constructor(
    private readonly options: experiment.Options,
    private readonly net: number,
    private readonly folder: string,
  ) {}

  private controlIp(index: number): string {
    return `127.${this.net}.0.${1 + index}`;
  }

  private routerIp(index: number): string {
    return `127.${this.net}.${1 + Math.floor(index / IN_A_ROW)}.${1 + (index % IN_A_ROW)}`;
  }

  platformAddress(): string {
    return `127.${this.net + NETS}.254.1:${RUNNER_PORT}`;
  }

  /** Addresses of the control nodes for operators' calls. */
  controls(): string[] {
    const addresses: string[] = [];
    for (let index = 0; index < this.options.controls; index += 1) addresses.push(`${this.controlIp(index)}:${CONTROL_PORT}`);
    return addresses;
  }

  controlName(index: number): string {
    return `control-${1 + index}`;
  }

  private common(name: string, ip: string, index: number): string[] {
    return [
      `node_name=${name}`,
      `ip_address=${ip}`,
      `zone=${zoneOf(index)}`,
      `region=${regionOf(index)}`,
      ...zoneLines(),
      "internal_port_range=9301,9315",
      `seed_nodes=${this.controls().join(",")}`,
      "limits.memory_mb=128",
      "limits.max_open_files=1024",
      `cloud_api.address=${this.platformAddress()}`,
      "cloud_api.rate_per_s=20",
      "bounds.grace_s=1",
    ];
  }

  controlSettings(index: number, isFirst: boolean): string {
    const ip = this.controlIp(index);
    const name = this.controlName(index);
    return [
      ...this.common(name, ip, index),
      "role=control",
      `bootstrap=${isFirst}`,
      "failure_counted=true",
      `data_dir=${path.join(this.folder, name)}`,
      `bind_addresses.control_plane=${ip}:${CONTROL_PORT}`,
      `bind_addresses.directory=${ip}:${DIRECTORY_PORT}`,
    ].join("\n");
  }

  routerSettings(index: number): string {
    const ip = this.routerIp(index);
    return [
      ...this.common(`router-${1 + index}`, ip, index),
      "role=router",
      "bootstrap=false",
      "failure_counted=false",
      `bind_addresses.frontend=${ip}:${FRONT_PORT}`,
    ].join("\n");
  }

  /** The regions whose runners a hollow router uses: its own, and the next ones. */
  usedRegions(index: number): string[] {
    const used: string[] = [];
    for (let step = 0; step < this.options.regionsUsed; step += 1) used.push(regionOf(index + step));
    return used;
  }

  /** The platform's list of hollow runners. */
  instances(): platformEmulator.ListedInstance[] {
    const listed: platformEmulator.ListedInstance[] = [];
    for (let index = 0; index < this.options.runners; index += 1) {
      const ip = `127.${this.net + NETS}.${Math.floor(index / IN_A_ROW)}.${1 + (index % IN_A_ROW)}`;
      listed.push({
        instance_id: `i-${1 + index}`,
        service: `model-${1 + (index % SERVICES)}`,
        address: `${ip}:${RUNNER_PORT}`,
        zone: zoneOf(index),
        revision: "v1",
        capacity: 16,
        state: "ready",
        warmup_left_ms: 0,
      });
    }
    return listed;
  }

  /** A route of the configuration; its names are unlike each other. */
  route(index: number, deadlineMs: number): unknown {
    return {
      name: nameOf("route", index),
      hostname: `${nameOf("host", index % this.options.tenants)}.example`,
      path_prefix: `/${nameOf("p", index)}/${index}/`,
      route_type: "streaming",
      deadline_ms: deadlineMs,
      target_latency_ms: 800,
      target_gap_ms: 600,
      priority: index % 3,
      service: `model-${1 + (index % SERVICES)}`,
      max_attempts: 2,
      session_affinity: true,
      resumable: true,
      allowed_regions: index % 10 === 0 ? [regionOf(index)] : [],
    };
  }

  /** The whole configuration at a revision. */
  configuration(revision: number): unknown {
    const { routes, tenants } = this.options;
    const made = { revision, routes: [] as unknown[], services: [] as unknown[], tenants: [] as unknown[] };
    for (let index = 0; index < routes; index += 1) made.routes.push(this.route(index, 15_000));
    for (let index = 0; index < tenants; index += 1) made.tenants.push({ name: nameOf("tenant", index), priority: index % 3 });
    for (let index = 1; index <= SERVICES; index += 1) {
      made.services.push({
        name: `model-${index}`,
        health_check_path: "/health",
        max_connections: 100,
        warmup_s: 3,
        warmup_per_s: 10,
        runtime: { capacity: 16, kv_token_capacity: 100_000 },
      });
    }
    return made;
  }
}
