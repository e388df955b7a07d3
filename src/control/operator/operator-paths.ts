// Paths of the operator's calls at a control node (design 6.2).

/** Puts a whole configuration in the place of the one in force. */
export const REPLACE = "/-/Config.Replace";
/** Changes parts of the configuration in force. */
export const UPDATE = "/-/Config.Update";
/** Reads the configuration in force. */
export const DESCRIBE = "/-/Config.Describe";
/** Begins an evacuation; the zone's name follows. */
export const START_EVACUATION = "/-/Evacuations.Start/";
/** Ends an evacuation; the zone's name follows. */
export const STOP_EVACUATION = "/-/Evacuations.Stop/";

const ORDERS = [REPLACE, UPDATE, START_EVACUATION, STOP_EVACUATION];

/** Whether a POST to the path changes the register. */
export function isOrder(path: string): boolean {
  return ORDERS.some((order) => path.startsWith(order));
}
