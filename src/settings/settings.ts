/**
 * The settings file: lines a.b=value, lists with commas, unknown fields ignored (design 2.1). docs/operating.md names
 * each field.
 */
import * as fs from "node:fs";
import * as superstruct from "superstruct";
import * as result from "true-myth/result";
import * as types from "../wire/types.js";
import * as errors from "../runtime/errors.js";

const text = superstruct.nonempty(superstruct.string());
const address = superstruct.pattern(superstruct.string(), /^[0-9a-zA-Z.-]+:\d{1,5}$/);
const positive = superstruct.min(superstruct.number(), 0, { exclusive: true });
const nonNegative = superstruct.min(superstruct.number(), 0);

const shape = superstruct.type({
  node_name: text,
  role: superstruct.optional(text),
  ip_address: text,
  zone: text,
  region: text,
  zones: superstruct.record(text, text),
  bind_addresses: superstruct.type({
    frontend: superstruct.optional(address),
    readiness: superstruct.optional(address),
    control_plane: superstruct.optional(address),
    directory: superstruct.optional(address),
  }),
  internal_port_range: superstruct.size(superstruct.array(superstruct.integer()), 2),
  seed_nodes: superstruct.nonempty(superstruct.array(address)),
  bootstrap: superstruct.boolean(),
  failure_counted: superstruct.boolean(),
  limits: superstruct.type({ memory_mb: positive, max_open_files: positive, disk_mb: superstruct.defaulted(nonNegative, 0) }),
  data_dir: superstruct.optional(text),
  admission: superstruct.defaulted(superstruct.enums(["on", "off"]), "on"),
  batches: superstruct.defaulted(superstruct.enums(["on", "off"]), "off"),
  batches_bootstrap: superstruct.optional(superstruct.boolean()),
  autoscale: superstruct.defaulted(superstruct.enums(["on", "off"]), "off"),
  duties_bootstrap: superstruct.optional(superstruct.boolean()),
  unconfirmed_serve_s: superstruct.defaulted(nonNegative, 900),
  heartbeat_ms: superstruct.defaulted(positive, 1000),
  guarantees: superstruct.defaulted(superstruct.array(superstruct.string()), []),
  fault_tolerance: superstruct.type({ machines: superstruct.defaulted(superstruct.min(superstruct.integer(), 0), 1) }),
  bounds: superstruct.type({
    contact_ms: superstruct.defaulted(positive, 4000),
    ack_timeout_ms: superstruct.defaulted(positive, 5000),
    sync_s: superstruct.defaulted(nonNegative, 4),
    drain_timeout_ms: superstruct.defaulted(positive, 4000),
    grace_s: superstruct.defaulted(positive, 8),
    config_apply_ms: superstruct.defaulted(positive, 3000),
    evacuate_ms: superstruct.defaulted(positive, 5000),
    retry_ratio: superstruct.defaulted(nonNegative, 0),
    retry_window_s: superstruct.defaulted(positive, 10),
    retry_extra: superstruct.defaulted(nonNegative, 0),
    warmup_overshoot: superstruct.defaulted(positive, 1),
    warmup_tolerance: superstruct.defaulted(nonNegative, 0),
    ttl_max_s: superstruct.defaulted(positive, 5),
    quota_window_s: superstruct.defaulted(positive, 5),
    quota_overshoot: superstruct.defaulted(nonNegative, 0),
    quota_tolerance: superstruct.defaulted(nonNegative, 0),
    revocation_strict: superstruct.defaulted(superstruct.boolean(), false),
    revoke_delay_ms: superstruct.defaulted(positive, 5000),
    lease_ms: superstruct.defaulted(positive, 3000),
    report_window_s: superstruct.defaulted(positive, 5),
    usage_delay_s: superstruct.defaulted(positive, 10),
    merge_delay_ms: superstruct.optional(nonNegative),
  }),
  cloud_api: superstruct.type({
    address: superstruct.optional(address),
    rate_per_s: superstruct.defaulted(positive, 1),
    max_lag_ms: superstruct.defaulted(nonNegative, 1000),
    duties: superstruct.defaulted(superstruct.array(superstruct.string()), []),
    duties_per_s: superstruct.defaulted(positive, 10),
  }),
});

/** Checked settings with their defaults; names are those of the file. */
export type Settings = superstruct.Infer<typeof shape>;

const LISTS = new Set(["internal_port_range", "seed_nodes", "serves", "guarantees", "cloud_api.duties"]);
const TEXTS = new Set(["node_name", "role", "ip_address", "zone", "region", "data_dir"]);

function scalar(value: string): unknown {
  if (value === "true") return true;
  if (value === "false") return false;
  if (/^-?\d+(\.\d+)?$/.test(value)) return Number(value);
  return value;
}

function valueOf(key: string, raw: string): unknown {
  if (LISTS.has(key)) return raw === "" ? [] : raw.split(",").map(trimmed).map(scalar);
  if (TEXTS.has(key) || key.startsWith("zones.") || key.startsWith("bind_addresses.")) return raw;
  return scalar(raw);
}

function trimmed(item: string): string {
  return item.trim();
}

type Tree = { [key: string]: unknown };

function assign(tree: Tree, key: string, value: unknown): void {
  // Zone names may hold dots: only the first part of a key nests.
  const dot = key.indexOf(".");
  if (dot < 0) {
    tree[key] = value;
    return;
  }
  const head = key.slice(0, dot);
  const branch = (tree[head] ??= {}) as Tree;
  if (typeof branch === "object") branch[key.slice(dot + 1)] = value;
}

/** Settings of a file's text; the error names the line or field and the remedy. */
export function parse(content: string): result.Result<Settings, errors.CranewindError> {
  const tree: Tree = { fault_tolerance: {}, bounds: {}, bind_addresses: {}, cloud_api: {} };
  for (const [index, line] of content.split(/\r?\n/).entries()) {
    const bare = line.trim();
    if (bare === "" || bare.startsWith("#")) continue;
    const equals = bare.indexOf("=");
    if (equals <= 0) {
      return result.err(new errors.StartupError(`settings line ${index + 1} is not key=value`, "write it as a.b=value"));
    }
    const key = bare.slice(0, equals).trim();
    if (key.includes("__proto__")) continue;
    assign(tree, key, valueOf(key, bare.slice(equals + 1).trim()));
  }
  const [failure, settings] = superstruct.validate(tree, shape, { coerce: true });
  if (failure) {
    const field = failure.path.join(".") || "the file";
    return result.err(
      new errors.StartupError(`settings field ${field}: ${failure.message}`, `set ${field} to what docs/operating.md names`),
    );
  }
  return result.ok(settings);
}

/** Where the seeds listen for other nodes: ports are the same on all machines. */
export function innerSeeds(settings: Settings): string[] {
  function internalAddress(seed: string): string {
    return `${types.hostOf(seed)}:${settings.internal_port_range[0]}`;
  }
  return settings.seed_nodes.map(internalAddress);
}

/** Where the settings are read from: CRANEWIND_NODE_FILE, else the platform's place. */
export function settingsPath(): string {
  return process.env["CRANEWIND_NODE_FILE"] ?? "/etc/cranewind/boot.conf";
}

/** Reads and parses a file; a file that cannot be read is an error like any other. */
export function read(path: string): result.Result<Settings, errors.CranewindError> {
  try {
    return parse(fs.readFileSync(path, "utf8"));
  } catch (cause) {
    return result.err(
      new errors.StartupError(`cannot read settings ${path}: ${errors.messageOf(cause)}`, "point CRANEWIND_NODE_FILE at a readable file", {
        cause,
      }),
    );
  }
}
