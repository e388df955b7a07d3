/**
 * A signal that comes while a process starts.
 *
 * What operators saw: a control node that was restarted got SIGHUP, to read its settings again, 0.6 s after its start, and
 * was gone; nothing started it again.
 * Cause: until a role has loaded, nobody listens for SIGHUP, and its default is the end of the process.
 * Evidence: a soak of real processes (seed 1): "control-2 starts", 0.6 s later "SIGHUP", 13 ms later "ends, SIGHUP".
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as esbuild from "esbuild";

test("SIGHUP while a role loads does not end the process", () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "cranewind-launcher-"));
  const launcher = path.join(folder, "cranewind.js");
  esbuild.buildSync({ entryPoints: ["src/cli/cranewind.ts"], outfile: launcher, bundle: true, platform: "node", format: "cjs" });
  // Stands for the roles, and is signalled while it loads.
  fs.writeFileSync(
    path.join(folder, "roles.js"),
    'process.kill(process.pid, "SIGHUP"); exports.control = () => setTimeout(() => undefined, 50);',
  );
  const { status, signal } = childProcess.spawnSync(process.execPath, [launcher, "control"]);
  fs.rmSync(folder, { recursive: true });
  expect({ status, signal }).toEqual({ status: 0, signal: null });
});

test("SIGHUP before the runtime has run any line of the program does not end the process", async () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "cranewind-launcher-"));
  const launcher = path.join(folder, "cranewind.js");
  esbuild.buildSync({ entryPoints: ["src/cli/cranewind.ts"], outfile: launcher, bundle: true, platform: "node", format: "cjs" });
  fs.writeFileSync(path.join(folder, "roles.js"), "exports.control = () => undefined;");
  const started = childProcess.spawn(process.execPath, [launcher, "control"]);
  started.kill("SIGHUP");
  const signal = await new Promise((resolve) => started.on("exit", (_code, by) => resolve(by)));
  fs.rmSync(folder, { recursive: true });
  expect(signal).toBeNull();
});

test("a process whose address is taken ends with the code of a failed start and a line that names the address", async () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "cranewind-launcher-"));
  const taken = net.createServer();
  await new Promise<void>((resolve) => taken.listen(0, "127.0.0.1", resolve));
  const { port } = taken.address() as net.AddressInfo;
  const build = { bundle: true, platform: "node", format: "cjs" } as const;
  esbuild.buildSync({ ...build, entryPoints: ["src/cli/cranewind.ts"], outfile: path.join(folder, "cranewind.js") });
  esbuild.buildSync({ ...build, entryPoints: ["src/cli/node.ts"], outfile: path.join(folder, "roles.js") });
  const settingsFile = path.join(folder, "node.conf");
  fs.writeFileSync(settingsFile, SETTINGS.map((line) => line.replaceAll("PORT", `${port}`)).join("\n"));
  const env = { ...process.env, CRANEWIND_NODE_FILE: settingsFile };
  const { status, stderr } = childProcess.spawnSync(process.execPath, [path.join(folder, "cranewind.js"), "control"], { env });
  taken.close();
  fs.rmSync(folder, { recursive: true });
  expect(stderr.toString()).toMatch(new RegExp(`n cannot start: cannot listen at 127.0.0.1:${port}: .*EADDRINUSE.*; end the process`));
  expect(status).toBe(78);
});

const SETTINGS = [
  "node_name=n",
  "ip_address=127.0.0.1",
  "zone=z",
  "region=r",
  "zones.z=r",
  "internal_port_range=PORT,PORT",
  "seed_nodes=127.0.0.1:PORT",
  "bootstrap=true",
  "failure_counted=true",
  "limits.memory_mb=128",
  "limits.max_open_files=512",
];
