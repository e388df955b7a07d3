/**
 * When the requests that a server reads can have arrived at the earliest (design/hardening/2-orders 5). A process that was not run for
 * a while finds requests in its sockets, and the system does not say since when they have waited. So the server keeps the last
 * time by which it is known to have read all that had arrived; a request counts as old as that.
 */
import type * as http from "node:http";
import type * as net from "node:net";
import * as timers from "../runtime/timers.js";
import type * as types from "./types.js";

/** A request counts as up to this much older than it is, while the process runs without delays. */
const CHECK_INTERVAL_MS = 100;

/** One for each server; made before the server listens. */
export class ArrivalTimes {
  /** Whatever had arrived by then has been read. */
  private allReadAt: types.SteadyMs;
  /** When the check began that is under way; null between two checks. */
  private checkedFrom: types.SteadyMs | null = null;
  /** Whether a connection was accepted since the check began. */
  private hasAccepted = false;
  /** By connection: when the first byte can have arrived of the request that is being read or answered. */
  private readonly firstBytes = new WeakMap<net.Socket, types.SteadyMs>();
  private timer: types.Timer | null = null;

  constructor(
    private readonly clock: types.Clock,
    server: http.Server,
  ) {
    this.allReadAt = clock.now();
    server.on("connection", (socket) => this.watch(socket));
  }

  /** Checks until it is stopped. */
  start(): void {
    this.allReadAt = this.clock.now();
    this.timer = timers.runPeriodically(this.clock, CHECK_INTERVAL_MS, () => this.beginCheck());
  }

  /** Stops the checks; requests that are read later count as old as the last one. */
  stop(): void {
    this.timer?.stop();
  }

  private watch(socket: net.Socket): void {
    this.hasAccepted = true;
    socket.prependListener("data", () => {
      if (!this.firstBytes.has(socket)) this.firstBytes.set(socket, this.allReadAt);
    });
  }

  private beginCheck(): void {
    if (this.checkedFrom === null) this.readOnce();
  }

  /** Lets the event loop read its sockets once. It accepts one connection at a time, so that others may wait behind one. */
  private readOnce(): void {
    this.checkedFrom = this.clock.now();
    this.hasAccepted = false;
    setImmediate(() => this.endCheck(this.checkedFrom!));
  }

  private endCheck(startedAt: types.SteadyMs): void {
    if (this.hasAccepted) {
      this.readOnce();
      return;
    }
    this.allReadAt = startedAt;
    this.checkedFrom = null;
  }

  /** The earliest time, on the steady clock, at which the first byte can have arrived of the request whose head was just read. */
  arrivedAt(socket: net.Socket): types.SteadyMs {
    return this.firstBytes.get(socket) ?? this.allReadAt;
  }

  /** No request is open on the connection: the next byte begins another one. */
  endRequest(socket: net.Socket): void {
    this.firstBytes.delete(socket);
  }
}
