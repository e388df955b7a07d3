/** The processes of an experiment: each is started here, known by its handle, and ended by it (design/experiment 2). */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";
import * as errors from "../runtime/errors.js";
import * as hosts from "./hosts.js";
import type * as worker from "./worker.js";

const REMEDY = "read its log in the folder of the run";

/** A host as a child process; commands and responses travel by its channel. */
class ProcessHost implements hosts.Host {
  private readonly pending = new Map<number, { resolve(response: unknown): void; reject(cause: Error): void }>();
  private id = 0;
  private isOver = false;

  constructor(
    readonly name: string,
    private readonly child: childProcess.ChildProcess,
  ) {
    child.on("message", (message) => this.onMessage(message));
    child.on("exit", () => this.onExit());
  }

  request(command: hosts.HostCommand): Promise<unknown> {
    if (this.isOver) return Promise.reject(this.hasEndedError());
    const id = (this.id += 1);
    const { pending, child } = this;
    return new Promise(function start(resolve, reject) {
      pending.set(id, { resolve, reject });
      child.send({ id, command } satisfies worker.CommandMessage);
    });
  }

  private onMessage(message: unknown): void {
    const { id, response, failure } = message as worker.ResponseMessage;
    const item = this.pending.get(id);
    this.pending.delete(id);
    if (failure === "") item?.resolve(response);
    else item?.reject(new errors.UsageError(`${this.name}: ${failure}`, REMEDY));
  }

  private hasEndedError(): Error {
    return new errors.UsageError(`${this.name} has ended`, REMEDY);
  }

  private onExit(): void {
    this.isOver = true;
    for (const item of this.pending.values()) item.reject(this.hasEndedError());
    this.pending.clear();
  }
}

class ProcessControl implements hosts.ControlHost {
  constructor(
    readonly name: string,
    private readonly child: childProcess.ChildProcess,
  ) {}

  freeze(): void {
    this.child.kill("SIGSTOP");
  }

  kill(): Promise<void> {
    return finish(this.child);
  }
}

function finish(child: childProcess.ChildProcess): Promise<void> {
  return new Promise(function wait(resolve) {
    if (child.exitCode !== null || child.signalCode !== null) {
      resolve();
      return;
    }
    function ended(): void {
      resolve();
    }
    child.once("exit", ended);
    child.kill("SIGKILL");
  });
}

/** Starts processes of this program, with logs in the folder of the run. */
export class ProcessLauncher implements hosts.Launcher {
  private readonly children = new Set<childProcess.ChildProcess>();
  private readonly controls = new Set<childProcess.ChildProcess>();
  private guard: hosts.Host | null = null;
  private seed: number;

  constructor(
    private readonly program: string,
    private readonly folder: string,
    seed: number,
  ) {
    this.seed = seed;
  }

  host(name: string): Promise<hosts.Host> {
    this.seed += 1;
    const child = this.spawn(name, ["experiment", "worker", String(this.seed)], {}, true);
    const host = new ProcessHost(name, child);
    this.guard ??= host;
    return Promise.resolve(host);
  }

  async control(name: string, settingsFile: string): Promise<hosts.ControlHost> {
    const child = this.spawn(name, ["control"], { CRANEWIND_NODE_FILE: settingsFile }, false);
    this.controls.add(child);
    child.once("exit", this.controls.delete.bind(this.controls, child));
    await this.guard?.request({ kind: "guard", pids: [...this.controls].map(pidOf) });
    return new ProcessControl(name, child);
  }

  private spawn(name: string, words: string[], environment: NodeJS.ProcessEnv, hasChannel: boolean): childProcess.ChildProcess {
    const log = fs.openSync(path.join(this.folder, `${name}.log`), "a");
    const child = childProcess.spawn(process.execPath, [this.program, ...words], {
      env: { ...process.env, ...environment },
      stdio: hasChannel ? ["ignore", log, log, "ipc"] : ["ignore", log, log],
    });
    fs.closeSync(log);
    this.children.add(child);
    child.once("exit", this.children.delete.bind(this.children, child));
    return child;
  }

  /** Ends what was started here, and nothing else. */
  async end(): Promise<void> {
    await Promise.all([...this.children].map(finish));
  }
}

function pidOf(child: childProcess.ChildProcess): number {
  return child.pid ?? 0;
}
