// Roll-outs: orders that are durable and taken once, a state that only moves on, versions that get no requests (design/rollouts 7).
import * as rolloutCalls from "../../src/control/operator/rollout-calls.js";
import * as withheldVersions from "../../src/control/platform/withheld-versions.js";
import * as dutyTable from "../../src/duties/duty-table.js";
import * as rollout from "../../src/rollout/rollout.js";
import * as registerStep from "../../src/register/register-step.js";
import * as registerValue from "../../src/register/register-value.js";
import type * as configurationCheck from "../../src/config/configuration-check.js";
import type * as dutySchema from "../../src/wire/duty-schema.js";
import type * as schema from "../../src/wire/schema.js";
import * as serve from "../../src/wire/serve.js";

const START_MS = 1_790_000_000_000;
const BODY = { service: "pool", target_version: "v2", duration_s: 12 };
const CLAIMANT = { name: "a", life: "a/1" };

/** One control node's calls on a register that may have no majority. */
class CallsFixture {
  value: schema.Value = registerValue.initialValue(["a"]);
  hasMajority = true;
  nowMs = START_MS;
  config: configurationCheck.Configuration | null = { revision: 1, routes: [], services: [{ name: "pool" }, { name: "api" }] };
  private readonly calls = new rolloutCalls.RolloutCalls({
    register: {
      submitOrder: (step) => Promise.resolve(this.change(step)),
      read: () => Promise.resolve(this.change((value) => registerStepOk(value))),
    },
    configuration: () => this.config,
    timeOfDayMs: () => this.nowMs,
  });

  change(step: registerStep.Step): registerStep.Outcome {
    if (!this.hasMajority) return registerStep.noMajority();
    const outcome = step(this.value);
    if (outcome.isOk) this.value = outcome.value;
    return outcome;
  }

  async send(method: string, path: string, body: unknown = null, caller = serve.LOCAL_CALLER): Promise<serve.HttpResponse> {
    return this.calls.reply({ method, path, body: Buffer.from(JSON.stringify(body)), query: new URLSearchParams(), headers: {}, caller });
  }

  start(change: Partial<typeof BODY> = {}): Promise<serve.HttpResponse> {
    return this.send("POST", "/-/Rollouts.Start", { ...BODY, ...change });
  }

  describe(service = "pool"): Promise<serve.HttpResponse> {
    return this.send("GET", `/-/Rollouts.Describe/${service}`);
  }

  /** The holder of the duties reverts what serves. */
  revert(): void {
    this.change(dutyTable.claimStep(dutyTable.tableOf(this.value), CLAIMANT));
    this.change(
      dutyTable.renewStep(dutyTable.tableOf(this.value).fence, CLAIMANT.life, { ...dutyTable.NO_CHANGES, reverted: new Set(["pool"]) }),
    );
  }
}

function registerStepOk(value: schema.Value): registerStep.Outcome {
  return dutyTable
    .claimStep(
      dutyTable.tableOf(value),
      CLAIMANT,
    )(value)
    .map(() => value);
}

describe("roll-outs", () => {
  // As review/1, for roll-outs: a start that waited unread would move a service again after newer orders.
  test.each<[string, serve.Caller]>([
    ["has waited for a second", { waitedMs: () => 1000, hasLeft: () => false }],
    ["was left by its caller", { waitedMs: () => 0, hasLeft: () => true }],
  ])("a start that %s is not taken", async (_what, caller) => {
    const fixture = new CallsFixture();
    const before = fixture.value;
    expect(await fixture.send("POST", "/-/Rollouts.Start", BODY, caller)).toMatchObject({ status: 503 });
    expect(fixture.value).toBe(before);
  });

  test("a start is taken once, and again acknowledged when it is repeated, also after its end", async () => {
    const fixture = new CallsFixture();
    expect(await fixture.start()).toMatchObject({ status: 200, json: { state: "serving", target_version: "v2", duration_s: 12 } });
    const taken = fixture.value;
    expect(await fixture.start()).toMatchObject({ status: 200 });
    expect(fixture.value).toBe(taken);
    fixture.revert();
    expect(await fixture.start()).toMatchObject({ status: 200, json: { state: "reverted" } });
    expect(await fixture.describe()).toMatchObject({ status: 200, json: { state: "reverted", target_version: "v2" } });
  });

  test("another version waits for the end of the first; the same one may come again long after", async () => {
    const fixture = new CallsFixture();
    await fixture.start();
    expect(await fixture.start({ target_version: "v3" })).toMatchObject({ status: 409 });
    expect(await fixture.start({ service: "api" })).toMatchObject({ status: 200 });
    fixture.revert();
    fixture.nowMs += 60_000;
    expect(await fixture.start()).toMatchObject({ status: 200, json: { state: "serving" } });
    fixture.revert();
    expect(await fixture.start({ target_version: "v3" })).toMatchObject({ status: 200, json: { target_version: "v3" } });
  });

  test.each<[Partial<Record<keyof typeof BODY, unknown>>]>([
    [{ service: "none" }],
    [{ service: "" }],
    [{ target_version: 2 }],
    [{ duration_s: 0 }],
    [{ duration_s: "12" }],
  ])("a start with %j is invalid", async (change) => {
    expect(await new CallsFixture().start(change as Partial<typeof BODY>)).toMatchObject({ status: 400 });
  });

  test("without a majority, or a configuration, nothing is decided: 503", async () => {
    const fixture = new CallsFixture();
    fixture.hasMajority = false;
    expect(await fixture.start()).toMatchObject({ status: 503 });
    expect(await fixture.describe()).toMatchObject({ status: 503 });
    fixture.hasMajority = true;
    fixture.config = null;
    expect(await fixture.start()).toMatchObject({ status: 503 });
    expect(await fixture.describe()).toMatchObject({ status: 404 });
  });

  test("a state never moves back", () => {
    const fixture = new CallsFixture();
    const complete: dutySchema.Rollout = { service: "pool", version: "v2", durationMs: 12_000, startedMs: START_MS, state: "complete" };
    fixture.value = dutyTable.withTable(fixture.value, { ...dutyTable.EMPTY, rollouts: [complete] });
    fixture.revert();
    expect(dutyTable.tableOf(fixture.value).rollouts).toEqual([complete]);
  });
});

describe("versions that get no requests", () => {
  const rolledOut = (state: dutySchema.RolloutState): dutySchema.Rollout[] => [
    { service: "pool", version: "v2", durationMs: 12_000, startedMs: START_MS, state },
  ];

  test.each<[dutySchema.RolloutState, number, boolean]>([
    ["serving", 1000, true],
    ["serving", 600_000, true],
    ["reverted", 1000, true],
    ["reverted", 600_000, false],
    ["complete", 1000, false],
  ])("%s, %d ms after the start: %s", (state, afterMs, isWithheld) => {
    expect(rollout.withheldVersions(rolledOut(state), START_MS + afterMs).has("pool")).toBe(isWithheld);
  });

  const runner = (id: string, version: string, isDraining = false): withheldVersions.ListedRunner => ({
    instance: { id, service: "pool", isDraining } as schema.Instance,
    version,
  });
  const withheld = new Map([["pool", "v2"]]);

  test("their runners are left out of the list, unless no other version serves", () => {
    const ids = (listed: withheldVersions.ListedRunner[]): string[] => withheldVersions.selectRunners(listed, withheld).map(({ id }) => id);
    expect(ids([runner("a", "v1"), runner("b", "v2"), runner("c", "v2", true)])).toEqual(["a"]);
    expect(ids([runner("a", "v1", true), runner("b", "v2")])).toEqual(["a", "b"]);
    expect(ids([runner("b", "v2")])).toEqual(["b"]);
  });
});
