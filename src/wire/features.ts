/**
 * What a build understands beyond the frames of its release. A control node names its features in each beat, so that a
 * message of a newer build is sent only to nodes that understand it, and a release still talks to the one before it.
 */
import type * as schema from "./schema.js";

/** Takes orders that another control node passes on (control/operator/order-forwarder.ts). */
export const FORWARDED_ORDERS = 1;

/** Keeps tallies with other control nodes (tallies/replication.ts). */
export const TALLIES = 2;

/** Takes part in the duties at the platform (control/duties). Routers name it in their heartbeats, too. */
export const DUTIES = 4;

/** Takes orders without a base that another control node offers (control/operator/order-offers.ts). */
export const OFFERED_ORDERS = 8;

/** The features of this build, for its beats. */
export const OWN_FEATURES = FORWARDED_ORDERS | TALLIES | DUTIES | OFFERED_ORDERS;

/** The features of a router of this build, for its heartbeats. */
export const ROUTER_FEATURES = DUTIES;

/** Whether the feature is among those that a node named. */
export function isNamed(named: number, feature: number): boolean {
  return (named & feature) !== 0;
}

/** Whether the sender of the beat has the feature; builds from before features say 0. */
export function hasFeature(beat: schema.Heartbeat, feature: number): boolean {
  return isNamed(beat.index, feature);
}
