// A link to a control node, and an address that may be one, as dialers and selectors see them (design 4.2).
import type * as link from "../wire/link.js";
import type * as schema from "../wire/schema.js";

/** A control node with an open link. */
export interface ControlNode {
  address: string;
  node: schema.NodeInfo;
  feedIncarnation: string;
  link: link.Link;
  heartbeat: schema.Beat | null;
  /** When the last beat came, or the hello, on the own clock. */
  heartbeatAt: number;
  /** What its hello said; isConfirmed() tells its newest word. */
  wasConfirmed: boolean;
  /** How long its hello took, there and back, in milliseconds. */
  roundTripMs: number;
}

/** A control node's newest word tells of now for so long, in ms: two beats and their way. */
const HEARTBEAT_FRESH_MS = 700;

/** Whether a word of the control node came lately; now: on the own clock. */
export function isFresh(control: ControlNode, now: number): boolean {
  return now - control.heartbeatAt < HEARTBEAT_FRESH_MS;
}

/** Whether the control node said, by its newest word, that a majority of the voters confirmed it lately. */
export function isConfirmed(control: ControlNode): boolean {
  return control.heartbeat ? control.heartbeat.isSettled : control.wasConfirmed;
}

/** Whether its link is open and a word came lately. */
export function isAlive(control: ControlNode, now: number): boolean {
  return control.link.isOpen && isFresh(control, now);
}

/** Whether it is heard, and its newest word says that a majority confirmed it. */
export function isAliveAndConfirmed(control: ControlNode, now: number): boolean {
  return isAlive(control, now) && isConfirmed(control);
}

/** Whether it said that it leaves. */
export function isDraining(control: ControlNode): boolean {
  return control.heartbeat !== null && !control.heartbeat.isReady;
}

/** A known address. failures: in a row, since it was last up; dueAt, urgency: when and why it is dialled (session-selector.ts). */
export interface DialTarget {
  /** `dialing`: one connection or more are tried; `greeting`: one is made, and its hello is under way. */
  state: "idle" | "dialing" | "greeting" | "up";
  notBefore: number;
  backoffMs: number;
  failures: number;
  dialedAt: number;
  dueAt: number;
  urgency: number;
  isReleased: boolean;
  region: string;
}

/** An address that was never dialled; `pauseMs`: its first pause after a failure. */
export function newDialTarget(pauseMs: number): DialTarget {
  return {
    state: "idle",
    notBefore: 0,
    backoffMs: pauseMs,
    failures: 0,
    dialedAt: 0,
    dueAt: Infinity,
    urgency: 0,
    isReleased: false,
    region: "",
  };
}
