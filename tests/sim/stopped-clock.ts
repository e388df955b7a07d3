// A clock that stands still: no time passes and no timer fires, so that nothing ends by a deadline, however slow the machine is.
import * as timers from "../../src/runtime/timers.js";

export class StoppedClock extends timers.SystemClock {
  private readonly startedAt = super.now();

  override now(): ReturnType<timers.SystemClock["now"]> {
    return this.startedAt;
  }

  override schedule(): { stop(): void } {
    return { stop: () => undefined };
  }
}
