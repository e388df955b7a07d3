// A process that holds hollow nodes: orders come by the channel from the process that started it, and it ends
// with that (design/experiment 2).
import * as clock from "./clock.js";
import * as hosts from "./hosts.js";

export interface Asked {
  id: number;
  order: hosts.Order;
}

export interface Replied {
  id: number;
  reply: unknown;
  failure: string;
}

export function run(seed: number): void {
  const hands = new hosts.Hands(new clock.SeededWorld(seed));
  process.on("message", take);
  process.on("disconnect", end);
  // An interrupt at the terminal goes to all: the process that started this one ends it.
  process.on("SIGINT", ignore);

  function take(asked: Asked): void {
    const { id, order } = asked;
    void hands.take(order).then(done, failed);
    function done(reply: unknown): void {
      tell({ id, reply: reply ?? null, failure: "" });
    }
    function failed(cause: Error): void {
      tell({ id, reply: null, failure: cause.message });
    }
  }

  /** The process that started this one is gone: so are the control nodes that it named. */
  function end(): void {
    for (const pid of hands.guarded) {
      try {
        process.kill(pid, "SIGKILL");
      } catch {
        // It has ended already.
      }
    }
    process.exit(0);
  }
}

function tell(replied: Replied): void {
  process.send?.(replied);
}

function ignore(): void {
  // See above.
}
