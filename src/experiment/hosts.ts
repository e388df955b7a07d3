/**
 * What a run asks of the processes that hold hollow nodes, whether they are processes of their own or, in tests, this
 * one (design/experiment 2).
 */
import type * as platformEmulator from "../emulator/platform-emulator.js";
import type * as types from "../wire/types.js";
import * as routers from "./routers.js";
import * as runners from "./runners.js";

/**
 * A command to a host: start routers or runners, name the control nodes to end with it, count the routers, or report.
 */
export type HostCommand =
  | { kind: "routers"; routers: routers.HollowRouterOptions[] }
  | { kind: "runners"; platform: string; instances: platformEmulator.ListedInstance[]; listChangesPerS: number }
  | { kind: "guard"; pids: number[] }
  | { kind: "census" }
  | { kind: "report" };

/** A process that holds hollow nodes. */
export interface Host {
  readonly name: string;
  /** Resolves to the command's response; rejects where it failed or the process has ended. */
  request(order: HostCommand): Promise<unknown>;
}

/** A control node as a process: lost without a word, or frozen first. */
export interface ControlHost {
  readonly name: string;
  /** Stops the process without ending it. */
  freeze(): void;
  /** Ends the process; resolves when it is gone. */
  kill(): Promise<void>;
}

/** Starts the processes of a run. */
export interface Launcher {
  /** Starts a host of hollow nodes. */
  host(name: string): Promise<Host>;
  /** Starts a control node from a settings file. */
  control(name: string, settingsFile: string): Promise<ControlHost>;
  /** Ends what it started, and nothing else. */
  end(): Promise<void>;
}

/** Carries out the commands inside a host. */
export class CommandHandler {
  private routers: routers.RouterGroup | null = null;
  private runners: runners.RunnerGroup | null = null;
  /** Control nodes that are to end with this host. */
  guardedPids: number[] = [];

  constructor(private readonly clock: types.Clock) {}

  /** One command; the response is plain data. */
  async handle(order: HostCommand): Promise<unknown> {
    if (order.kind === "census") return this.routers?.census();
    if (order.kind === "report") return this.routers?.report();
    if (order.kind === "guard") this.guardedPids = order.pids;
    else if (order.kind === "routers") {
      this.routers = new routers.RouterGroup(this.clock);
      await this.routers.start(order.routers);
    } else {
      this.runners = new runners.RunnerGroup(this.clock);
      await this.runners.start(order.platform, order.instances, order.listChangesPerS);
    }
    return null;
  }

  /** Stops all nodes held here. */
  async stop(): Promise<void> {
    await this.routers?.stop();
    this.runners?.stop();
  }
}
