// The settings file (design 2.1).
import * as settings from "../../src/settings/settings.js";

const GOOD = [
  "node_name=n-1",
  "ip_address=10.0.0.1",
  "zone=z.1",
  "region=r",
  "zones.z.1=r",
  "internal_port_range=7000,7015",
  "seed_nodes=10.0.0.1:80, 10.0.0.2:80",
  "bootstrap=true",
  "failure_counted=false",
  "limits.memory_mb=100",
  "limits.max_open_files=500",
  "cloud_api.address=10.0.0.9:80",
  "later.field=1",
  "# a comment",
  "",
];

describe("settings", () => {
  test("unknown fields are ignored, defaults fill in, zone names may hold dots", function good() {
    const read = settings.parse(GOOD.join("\n")).unwrapOr(null)!;
    expect(read.zones).toEqual({ "z.1": "r" });
    expect(read.seed_nodes).toEqual(["10.0.0.1:80", "10.0.0.2:80"]);
    expect(read.bounds.grace_s).toBe(8);
  });

  test.each([
    ["node_name=n-1", "node_name=", /node_name/],
    ["seed_nodes=10.0.0.1:80, 10.0.0.2:80", "seed_nodes=x", /seed_nodes/],
    ["bootstrap=true", "bootstrap=maybe", /bootstrap/],
    ["limits.memory_mb=100", "limits.memory_mb=-1", /memory_mb/],
    ["internal_port_range=7000,7015", "internal_port_range=7000", /internal_port_range/],
    ["# a comment", "no equals", /line 14.*key=value/],
    ["cloud_api.address=10.0.0.9:80", "cloud_api.address=nowhere", /cloud_api/],
  ])("%s as %j is named with a remedy", function bad(line, instead, message) {
    const read = settings.parse(GOOD.join("\n").replace(line, instead));
    expect(read.isErr && read.error.message).toMatch(message);
  });
});
