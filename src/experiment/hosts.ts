// What a run asks of the processes that hold hollow nodes, whether they are processes of their own or, in
// tests, this one (design/experiment 2).
import type * as platforms from "../standin/platform.js";
import type * as types from "../wire/types.js";
import * as routers from "./routers.js";
import * as runners from "./runners.js";

export type HostCommand =
  | { kind: "routers"; routers: routers.HollowRouterOptions[] }
  | { kind: "runners"; platform: string; instances: platforms.Listed[]; listChangesPerS: number }
  | { kind: "guard"; pids: number[] }
  | { kind: "census" }
  | { kind: "account" };

export interface Host {
  readonly name: string;
  request(order: HostCommand): Promise<unknown>;
}

/** A control node as a process: lost without a word, or frozen first. */
export interface ControlHost {
  readonly name: string;
  freeze(): void;
  kill(): Promise<void>;
}

export interface Launcher {
  host(name: string): Promise<Host>;
  control(name: string, settingsFile: string): Promise<ControlHost>;
  /** Ends what it started, and nothing else. */
  end(): Promise<void>;
}

/** Takes the orders inside a process. */
export class CommandHandler {
  private routers: routers.RouterGroup | null = null;
  private runners: runners.RunnerGroup | null = null;
  guardedPids: number[] = [];

  constructor(private readonly world: types.World) {}

  async handle(order: HostCommand): Promise<unknown> {
    if (order.kind === "census") return this.routers?.census();
    if (order.kind === "account") return this.routers?.report();
    if (order.kind === "guard") this.guardedPids = order.pids;
    else if (order.kind === "routers") {
      this.routers = new routers.RouterGroup(this.world);
      await this.routers.start(order.routers);
    } else {
      this.runners = new runners.RunnerGroup(this.world);
      await this.runners.start(order.platform, order.instances, order.listChangesPerS);
    }
    return null;
  }

  async stop(): Promise<void> {
    await this.routers?.stop();
    this.runners?.stop();
  }
}
