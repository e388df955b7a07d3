/** A machine around a simulated disk: its clock runs on without waiting, and no other process uses the folder. */
import * as voterDisk from "../../src/control/voters/voter-disk.js";
import type * as acceptor from "../../src/register/acceptor.js";
import type * as dataDirLock from "../../src/store/data-dir-lock.js";
import type * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";
import type * as simulated from "./disk.js";

export const ADDRESS = "10.0.0.1:7000";

/** Timers fire in the order of their time as soon as nothing else is to be done; none fires after `end`. */
export class HastyClock implements types.Clock {
  private time = 0;
  private isEnded = false;

  now(): types.SteadyMs {
    return types.small(this.time);
  }

  random(): number {
    return 0.5;
  }

  schedule(ms: number, run: () => void): types.Timer {
    const handle = setImmediate(this.fire.bind(this, this.time + ms, run));
    return {
      stop(): void {
        clearImmediate(handle);
      },
    };
  }

  end(): void {
    this.isEnded = true;
  }

  private fire(due: number, run: () => void): void {
    if (this.isEnded) return;
    this.time = Math.max(this.time, due);
    run();
  }
}

export interface SimulatedMachine {
  clock: HastyClock;
  folder: simulated.MountedDisk;
  processes: dataDirLock.ProcessTable;
}

const unknownProcesses: dataDirLock.ProcessTable = {
  async current() {
    return null;
  },
  async isRunning() {
    return false;
  },
};

export function machineOf(folder: simulated.MountedDisk): SimulatedMachine {
  return { clock: new HastyClock(), folder, processes: unknownProcesses };
}

export function placeOf(isBootstrap: boolean): voterDisk.VoterNode {
  return { address: ADDRESS, seeds: [ADDRESS], isBootstrap };
}

/** A voter's disk that was started, and the voter once it is open. */
export interface StartedDisk {
  disk: voterDisk.VoterDisk;
  voter: Promise<acceptor.Acceptor>;
}

export function startDisk(machine: voterDisk.Machine, isBootstrap: boolean): StartedDisk {
  const opened = deferred<acceptor.Acceptor>();
  const disk = new voterDisk.VoterDisk(machine, placeOf(isBootstrap), opened.resolve);
  disk.start();
  return { disk, voter: opened.promise };
}

/** Asks a voter for a promise. */
export function prepare(voter: acceptor.Acceptor, number: number): Promise<schema.Vote | null> {
  return voter.prepare({ disk: voter.disk, ballot: { n: number, by: "p" } });
}

/** Asks a voter to accept a value with a configuration of so many bytes. */
export function accept(voter: acceptor.Acceptor, number: number, bytes: number): Promise<schema.Vote | null> {
  const epoch = types.FIRST_EPOCH;
  const config = Buffer.alloc(bytes, number);
  const value: schema.Value = {
    epoch,
    revision: 1,
    config,
    taken: Buffer.alloc(0),
    evacuations: [],
    voterEpoch: epoch,
    voters: [],
    former: [],
  };
  return voter.accept({ disk: voter.disk, ballot: { n: number, by: "p" }, isSetChosen: true, value });
}

function deferred<T>(): { promise: Promise<T>; resolve: (value: T) => void } {
  let settle: (value: T) => void = ignore;
  const promise = new Promise<T>(function keep(resolve) {
    settle = resolve;
  });
  return { promise, resolve: settle };
}

function ignore(): void {}
