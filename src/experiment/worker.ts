/**
 * A process that holds hollow nodes: commands come by the channel from the process that started it, and it ends with
 * that (design/experiment 2).
 */
import * as measuringClock from "./measuring-clock.js";
import * as hosts from "./hosts.js";

/** A command with its number on the channel. */
export interface CommandMessage {
  id: number;
  command: hosts.HostCommand;
}

/** The response to it; `failure` is empty where it was carried out. */
export interface ResponseMessage {
  id: number;
  response: unknown;
  failure: string;
}

/** Serves commands until the channel closes. */
export function run(seed: number): void {
  const handler = new hosts.CommandHandler(new measuringClock.SeededClock(seed));
  function onMessage(message: CommandMessage): void {
    const { id, command } = message;
    function succeeded(response: unknown): void {
      respond({ id, response: response ?? null, failure: "" });
    }
    function failed(cause: Error): void {
      respond({ id, response: null, failure: cause.message });
    }
    void handler.handle(command).then(succeeded, failed);
  }
  process.on("message", onMessage);
  /** The process that started this one is gone: so are the control nodes that it named. */
  function onDisconnect(): void {
    for (const pid of handler.guardedPids) {
      try {
        process.kill(pid, "SIGKILL");
      } catch {
        // It has ended already.
      }
    }
    process.exit(0);
  }
  process.on("disconnect", onDisconnect);
  // An interrupt at the terminal goes to all: the process that started this one ends it.
  process.on("SIGINT", ignore);
}

function respond(message: ResponseMessage): void {
  process.send?.(message);
}

function ignore(): void {
  // See above.
}
