/** The load of each service and zone, from the platform's list and the runners' reports (design/duties 7). */
import type * as configurationCheck from "../../config/configuration-check.js";
import * as dutyTable from "../../duties/duty-table.js";
import type * as runnerDemand from "../../duties/runner-demand.js";
import type * as schema from "../../wire/schema.js";

const MS_PER_S = 1000;

/** Loads of all zones in which no runner drains; while one does, a release or a replacement is under way there. */
export function zoneLoads(instances: readonly schema.Instance[], reports: readonly schema.CellReport[]): runnerDemand.ZoneLoad[] {
  const requests = new Map<string, number>();
  for (const { reports: ofRegion } of reports) for (const { id, active, waiting } of ofRegion) requests.set(id, active + waiting);
  const loads = new Map<string, runnerDemand.ZoneLoad>();
  const draining = new Set<string>();
  for (const instance of instances) {
    const subject = dutyTable.subjectOf(instance);
    if (instance.isDraining) draining.add(subject);
    const load = loads.get(subject) ?? { service: instance.service, zone: instance.zone, runners: 0, slots: 0, requests: 0 };
    loads.set(subject, load);
    load.runners += 1;
    load.slots += instance.capacity;
    load.requests += requests.get(instance.id) ?? 0;
  }
  return [...loads].filter(([subject]) => !draining.has(subject)).map(([, load]) => load);
}

/** `scaling` of a service; null where the configuration has none. */
export function scalingBounds(config: configurationCheck.Configuration | null, service: string): runnerDemand.ScalingBounds | null {
  const scaling = config?.services.find(({ name }) => name === service)?.scaling;
  return scaling ? { minCount: scaling.min_count, maxCount: scaling.max_count, startupMs: scaling.startup_s * MS_PER_S } : null;
}
