/** Paths of the operators' API at a control node (design 6.2). */

/** Replaces the complete configuration. */
export const REPLACE = "/-/Config.Replace";
/** Changes parts of the configuration. */
export const UPDATE = "/-/Config.Update";
/** Reads the current configuration. */
export const DESCRIBE = "/-/Config.Describe";
/** Starts an evacuation; the zone's name follows. */
export const START_EVACUATION = "/-/Evacuations.Start/";
/** Stops an evacuation; the zone's name follows. */
export const STOP_EVACUATION = "/-/Evacuations.Stop/";
/** Starts a roll-out of a new version. */
export const START_ROLLOUT = "/-/Rollouts.Start";
/** Reads the state of a roll-out; the service's name follows. */
export const DESCRIBE_ROLLOUT = "/-/Rollouts.Describe/";

const ORDERS = [REPLACE, UPDATE, START_EVACUATION, STOP_EVACUATION];

/** Whether a POST to the path changes the register. */
export function isOrder(path: string): boolean {
  return ORDERS.some((order) => path.startsWith(order));
}

const UNCONDITIONAL = [START_EVACUATION, STOP_EVACUATION, START_ROLLOUT];

/** Whether an order with this path names neither the value that it builds on nor an id of its own. */
export function isUnconditional(path: string): boolean {
  return UNCONDITIONAL.some((order) => path.startsWith(order));
}
