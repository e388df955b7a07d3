/** A control node with an open link, and an address to dial, as the dialer and the session selector see them (design 4.2). */
import type * as link from "../wire/link.js";
import type * as schema from "../wire/schema.js";

/** A control node with an open link. */
export interface ControlNode {
  address: string;
  node: schema.NodeInfo;
  feedIncarnation: string;
  link: link.Link;
  heartbeat: schema.Heartbeat | null;
  /** When the last heartbeat came, or the hello, on the own clock. */
  heartbeatAt: number;
  /** Whether its hello said that it is confirmed; isConfirmed() uses the newest heartbeat. */
  wasConfirmed: boolean;
  /** How long its hello took, there and back, in milliseconds. */
  roundTripMs: number;
}

/** A heartbeat describes the present for this long: two intervals and the transit time. */
const HEARTBEAT_FRESH_MS = 700;

/** Whether a heartbeat of the control node came lately; now: on the own clock. */
export function isFresh(control: ControlNode, now: number): boolean {
  return now - control.heartbeatAt < HEARTBEAT_FRESH_MS;
}

/** Whether its newest heartbeat says that a majority of the voters confirmed it lately. */
export function isConfirmed(control: ControlNode): boolean {
  return control.heartbeat ? control.heartbeat.isSettled : control.wasConfirmed;
}

/** Whether its link is open and a heartbeat came lately. */
export function isAlive(control: ControlNode, now: number): boolean {
  return control.link.isOpen && isFresh(control, now);
}

/** Whether it is alive and confirmed by a majority. */
export function isAliveAndConfirmed(control: ControlNode, now: number): boolean {
  return isAlive(control, now) && isConfirmed(control);
}

/** Whether it announced that it shuts down. */
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
