// Small runs of the experiment tool in one process, which end by themselves (design/experiment).
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as controlProgram from "../../src/control/control-program.js";
import * as chains from "../../src/experiment/chain.js";
import * as measuringClock from "../../src/experiment/measuring-clock.js";
import * as hosts from "../../src/experiment/hosts.js";
import * as layout from "../../src/experiment/layout.js";
import * as run from "../../src/experiment/run.js";
import * as settings from "../../src/settings/settings.js";
import * as loadReader from "../../src/load/load-reader.js";
import * as counts from "../../src/wire/counts.js";
import { options } from "../sim/experiment.js";

/** Control nodes and hosts in this very process. */
class LocalLauncher implements hosts.Launcher {
  readonly world = new measuringClock.SeededClock(1);
  readonly ends: (() => Promise<void>)[] = [];
  async host(name: string): Promise<hosts.Host> {
    const hands = new hosts.CommandHandler(this.world);
    this.ends.unshift(() => hands.stop());
    return { name, request: (order) => hands.handle(order) };
  }
  async control(name: string, file: string): Promise<hosts.ControlHost> {
    const program = new controlProgram.ControlProgram(
      this.world,
      settings.read(file).unwrapOrElse((error) => {
        throw error;
      }),
    );
    await program.root.start();
    this.ends.unshift(() => program.stop());
    return { name, freeze: () => undefined, kill: () => Promise.resolve() };
  }
  async end(): Promise<void> {
    for (const end of this.ends.splice(0)) await end();
  }
}

test("a hollow router uses its own region, and the next ones as asked for", () => {
  const used = [1, 2, 3].map((regionsUsed) => new layout.Layout(options({ regionsUsed }), 60, "").usedRegions(2));
  expect(used).toEqual([["region-3"], ["region-3", "region-1"], ["region-3", "region-1", "region-2"]]);
});

test.each(["none", "shared"] as const)("a choice is timed policy by policy, prompt: %s", (prompt) => {
  const row = chains.measure(new measuringClock.SeededClock(1), { regions: 2, runnersEach: 3 }, prompt, 10);
  expect(row).toMatchObject({ regions: 2, runnersEach: 3, prompt, times: 10 });
  for (const us of [row.homesUs, row.cellsUs, row.runnerUs, row.admissionUs]) expect(us).toBeGreaterThan(0);
  expect(row.p50Us).toBeGreaterThanOrEqual(Math.max(row.homesUs, row.cellsUs, row.runnerUs, row.admissionUs));
  expect(row.p99Us).toBeGreaterThanOrEqual(row.p50Us);
  expect(row.processorUs).toBeGreaterThan(0);
});

test("a small run measures all there is and ends by itself", async () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "cranewind-hollow-"));
  const launcher = new LocalLauncher();
  const small = options({ routers: 2, runners: 4, routes: 3, tenants: 2, controls: 1, changesPerS: 3, seconds: 1, loseControl: true });
  const steps: string[] = [];
  const used = jest.spyOn(loadReader.LoadReader.prototype, "recordSend");
  const outcome = await new run.Run(launcher.world, launcher, small, folder, (step) => steps.push(step), "small").play();
  fs.rmSync(folder, { recursive: true });
  expect(new Set(used.mock.calls.map(([region]) => region))).toEqual(new Set(["region-1", "region-2", "region-3"]));
  expect(steps).toEqual(["starting", "settling", "measuring"]);
  expect(launcher.ends).toEqual([]);
  expect(outcome.nodes.map((row) => [row.role, row.node, row.sharedBy])).toEqual([
    ["control", "control-1", 1],
    ["router", "routers-1", 2],
  ]);
  expect(outcome.losses).toEqual([]);
  expect(outcome.changes).toEqual([expect.objectContaining({ sweep: "small", routers: 2, sent: 3, acknowledged: 3, missing: 0 })]);
  expect(outcome.changes[0].inForceWorstMs).toBeGreaterThanOrEqual(outcome.changes[0].inForceP50Ms);
  const change = outcome.links.find((row) => row.role === "control" && row.kind === "change")!;
  expect(change.toldFramesPerS).toBeGreaterThan(0);
  expect(change.toldBytesPerS).toBeGreaterThan(change.toldFramesPerS * 10);
  // In one process, what is told is heard: the counters of both sides agree but for frames on their way.
  const all = counts.linkCounts().get("change")!;
  expect(all.framesTold - all.framesHeard).toBeGreaterThanOrEqual(0);
  expect(outcome.nodes[0].reportsReadPerS).toBeGreaterThan(0);
});
