/**
 * A supervisor tree: children start in order, stop in reverse, and one that fails is logged and goes on (design 9.2).
 */
import * as log from "../runtime/log.js";
import * as types from "../wire/types.js";
import * as timers from "../runtime/timers.js";

/** A part of a process that can be started and stopped. */
export interface Child {
  /** For the log. */
  readonly name: string;
  /** Rejects or throws where it can't start: the start of the whole tree fails then. */
  start(): Promise<void> | void;
  /** Frees what it holds; called once, after those started later have stopped. */
  stop(): Promise<void> | void;
}

const MAX_FAILURES = 30;
const FAILURE_WINDOW_MS = 10_000;

/** Starts and stops its children, and counts failures. One at the root of each process. */
export class Supervisor implements Child {
  private readonly started: Child[] = [];
  private failures: number[] = [];

  constructor(
    readonly name: string,
    private readonly clock: types.Clock,
    private readonly children: Child[],
  ) {}

  /** Starts the children one after the other, in order. */
  async start(): Promise<void> {
    for (const child of this.children) {
      await child.start();
      this.started.push(child);
    }
  }

  /** Stops those that were started, in reverse order. */
  async stop(): Promise<void> {
    for (let child = this.started.pop(); child; child = this.started.pop()) await child.stop();
  }

  /**
   * A child that runs `task` every `intervalMs` milliseconds; a run that throws counts as a failure, and the next one
   * follows.
   */
  turns(name: string, intervalMs: number, task: () => void): Child {
    const clock = this.clock;
    const runGuarded = this.runGuarded.bind(this);
    let timer: types.Timer | null = null;
    function onTimer(): void {
      runGuarded(name, task);
    }
    return {
      name,
      start(): void {
        timer = timers.runPeriodically(clock, intervalMs, onTimer);
      },
      stop(): void {
        timer?.stop();
      },
    };
  }

  /** Adds a child at the end; to be called before `start`. */
  add(child: Child): void {
    this.children.push(child);
  }

  private runGuarded(name: string, task: () => void): void {
    try {
      task();
    } catch (cause) {
      this.failed(name, cause);
    }
  }

  /** Counts a failure; too many in a short while end the process, which the platform starts anew. */
  failed(name: string, cause: unknown): void {
    const now = this.clock.now();
    log.count("supervisor.failure");
    log.state(`${name} failed: ${cause instanceof Error ? (cause.stack ?? cause.message) : String(cause)}`);
    function isRecent(at: number): boolean {
      return now - at < FAILURE_WINDOW_MS;
    }
    this.failures = [...this.failures.filter(isRecent), now];
    if (this.failures.length <= MAX_FAILURES) return;
    log.state("too many failures in a short while; the process ends to start clean");
    log.flushNow();
    process.exit(70);
  }
}

/** What no child caught comes to the root. */
export function superviseProcess(root: Supervisor): void {
  process.on("uncaughtException", function caught(cause) {
    root.failed("process", cause);
  });
  process.on("unhandledRejection", function rejected(cause) {
    root.failed("promise", cause);
  });
}
