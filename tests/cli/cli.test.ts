// The command line as a person runs it: one line with the remedy, and the exit code (design 10.2).
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";

const PROGRAM = "target/cranewind.js";

beforeAll(() => {
  if (!fs.existsSync(PROGRAM)) throw new Error("the program is not built; run npm run build first");
});

function run(...words: string[]): { code: number | null; out: string; lines: string[] } {
  const done = childProcess.spawnSync(process.execPath, [PROGRAM, ...words], {
    encoding: "utf8",
    env: { PATH: process.env["PATH"], CRANEWIND_NODE_FILE: "no-such-file" },
  });
  return { code: done.status, out: done.stdout, lines: done.stderr.split("\n").filter(Boolean) };
}

const WRONG: [string[], number, RegExp][] = [
  [["frob"], 2, /unknown command 'frob'.*run cranewind --help/],
  [["describe"], 2, /--control.*not specified.*run cranewind --help/],
  [["apply", "x.json", "--control", "127.0.0.1:1"], 2, /--base.*run cranewind --help/],
  [["check", "config", "no-such-file"], 2, /cannot read no-such-file.*name a readable file/],
  [["check", "config", "package.json"], 1, /revision.*docs\/configuration.md/],
  [["check", "settings", "package.json"], 78, /key=value.*a\.b=value/],
  [["describe", "--control", "127.0.0.1:1"], 3, /does not reply; check that a node runs there/],
  [["capacity", "--control", "127.0.0.1:1"], 3, /does not reply; check that a node runs there/],
  [["capacity", "--control", ""], 2, /no address was given; name one/],
  [["status", "--control", ""], 2, /no address was given; name one/],
  [["tenants", "--control", "127.0.0.1:1"], 3, /does not reply; check that a node runs there/],
  [["tenants", "--control", ""], 2, /no address was given; name all control nodes/],
  [["tallies", "list", "--control", "127.0.0.1:1"], 3, /does not reply; check that a node runs there/],
  [["tallies", "show", "t1", "--control", ""], 2, /no address was given; name one/],
  [["tallies", "add", "t1", "much", "--control", "127.0.0.1:1"], 1, /actor is not right; send instance_id as/],
  [["router", "--metrics", "9464"], 78, /cannot read settings no-such-file/],
  [["whatif", "package.json"], 1, /length_s.*docs\/whatif.md/],
  [["ask", "--router", "127.0.0.1:1", "--host", "h", "--path", "/"], 3, /does not reply.*check that a router runs there/],
  [["router"], 78, /cannot read settings no-such-file.*CRANEWIND_NODE_FILE/],
  [["control"], 78, /cannot read settings no-such-file.*CRANEWIND_NODE_FILE/],
];

test.each(WRONG)("%j ends with %s and one line", (words, code, message) => {
  const done = run(...words);
  expect([done.code, done.lines.length, done.out]).toEqual([code, 1, ""]);
  expect(done.lines[0]).toMatch(message);
});

test("help and version end well", () => {
  expect(run("--version")).toMatchObject({ code: 0, out: expect.stringMatching(/^\d+\.\d+\.\d+\n$/) });
  const help = run("--help");
  expect(help.code).toBe(0);
  for (const word of [
    "router",
    "control",
    "check",
    "describe",
    "apply",
    "update",
    "evacuate",
    "status",
    "whatif",
    "ask",
    "try",
    "Exit codes",
  ])
    expect(help.out).toContain(word);
});

test("good settings are good", () => {
  const file = path.join(os.tmpdir(), `cranewind-settings-${process.pid}`);
  fs.writeFileSync(
    file,
    [
      "node_name=n",
      "ip_address=10.0.0.1",
      "zone=z",
      "region=r",
      "zones.z=r",
      "internal_port_range=1,2",
      "seed_nodes=10.0.0.1:80",
      "bootstrap=true",
      "failure_counted=true",
      "limits.memory_mb=9",
      "limits.max_open_files=9",
    ].join("\n"),
  );
  expect(run("check", "settings", file)).toMatchObject({ code: 0, out: expect.stringMatching(/good settings for n in z/) });
  fs.unlinkSync(file);
});
