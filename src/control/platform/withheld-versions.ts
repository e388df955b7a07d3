/** Keeps runners of versions that get no requests out of the platform's list (design/rollouts 7). */
import type * as schema from "../../wire/schema.js";

/** A runner as the platform lists it, with the version of its software. */
export interface ListedRunner {
  instance: schema.Instance;
  version: string;
}

/**
 * The runners that routers are told of. `withheld`: a version by service. Where a service has no other version that serves, nothing
 * is withheld of it: then the version came in another way.
 */
export function selectRunners(listed: readonly ListedRunner[], withheld: ReadonlyMap<string, string>): schema.Instance[] {
  const servedOtherwise = new Set<string>();
  for (const { instance, version } of listed)
    if (!instance.isDraining && withheld.get(instance.service) !== version) servedOtherwise.add(instance.service);
  const selected: schema.Instance[] = [];
  for (const { instance, version } of listed) {
    const isWithheld = withheld.get(instance.service) === version && servedOtherwise.has(instance.service);
    if (!isWithheld) selected.push(instance);
  }
  return selected;
}
