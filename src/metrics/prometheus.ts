/**
 * The process's own figures as Prometheus text, where `--metrics PORT/PATH` asks for them (docs/operating.md, "Metrics").
 * Counters are those of `status`; they are read only when somebody asks.
 */
import * as nodeHttp from "node:http";
import * as client from "prom-client";
import * as result from "true-myth/result";
import type * as tree from "../supervisor/tree.js";
import * as listen from "../wire/listen.js";
import * as errors from "../runtime/errors.js";
import * as log from "../runtime/log.js";
import * as vitals from "../runtime/vitals.js";

const PREFIX = "cranewind_";
const MAX_PORT = 65_535;

/** Where the figures are told. */
export interface Endpoint {
  port: number;
  /** With its leading slash. */
  path: string;
}

/** Reads PORT/PATH. */
export function parseEndpoint(text: string): result.Result<Endpoint, errors.CranewindError> {
  const found = /^(\d{1,5})(\/\S+)$/.exec(text);
  const port = Number(found?.[1]);
  if (found && port >= 1 && port <= MAX_PORT) return result.ok({ port, path: found[2] });
  return result.err(new errors.UsageError(`--metrics ${text} is no PORT/PATH`, "write it like 9464/metrics"));
}

/** Counter names with dots become names that the format allows. */
function nameOf(counter: string): string {
  return `${PREFIX}${counter.replace(/[^a-zA-Z0-9_]/g, "_")}_total`;
}

function gauge(registry: client.Registry, name: string, help: string, value: number): void {
  new client.Gauge({ name: PREFIX + name, help, registers: [registry] }).set(value);
}

/** All figures as they are now. */
export function text(): Promise<string> {
  const registry = new client.Registry();
  for (const [name, value] of log.counted())
    new client.Counter({ name: nameOf(name), help: `Counter ${name} of status.`, registers: [registry] }).inc(value);
  const { cpuMs, memoryMb, heapMb, loopP99Ms, descriptors } = vitals.vitals();
  gauge(registry, "cpu_seconds", "Processor time since the process began.", cpuMs / 1000);
  gauge(registry, "memory_megabytes", "Resident memory.", memoryMb);
  gauge(registry, "heap_megabytes", "Heap in use.", heapMb);
  gauge(registry, "loop_late_p99_ms", "How late the event loop ran, 99 in 100, since the last reading.", loopP99Ms);
  gauge(registry, "open_descriptors", "Open file descriptors.", descriptors);
  return registry.metrics();
}

/** Serves the figures at the address. */
export function metricsChild(host: string, endpoint: Endpoint): tree.Child {
  const server = nodeHttp.createServer((incoming, outgoing) => {
    if (incoming.url !== endpoint.path) {
      outgoing.writeHead(404, { "Content-Length": 0 }).end();
      return;
    }
    text().then(
      (told) => outgoing.writeHead(200, { "Content-Type": client.Registry.PROMETHEUS_CONTENT_TYPE }).end(told),
      () => outgoing.writeHead(500, { "Content-Length": 0 }).end(),
    );
  });
  return {
    name: "metrics",
    start(): Promise<void> {
      return listen.listen(server, `${host}:${endpoint.port}`);
    },
    stop(): void {
      server.close();
      server.closeAllConnections();
    },
  };
}
