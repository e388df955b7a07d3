// Plays one scenario on a simulated core and gives the verdict on what operators saw.
import * as voterPolicy from "../../src/control/voters/voter-policy.js";
import type * as schema from "../../src/wire/schema.js";
import * as clock from "./clock.js";
import * as histories from "./history.js";
import * as ending from "./ending.js";
import * as faults from "./faults.js";
import * as losses from "./losses.js";
import * as mutations from "./mutations.js";
import * as networks from "./network.js";
import * as nodes from "./node.js";
import * as operators from "./operators.js";
import type * as commands from "./commands.js";
import type * as scenario from "./scenario.js";

const START_MS = 1500;
const STEP_MS = 5000;

export class Player {
  readonly clock: clock.ModelClock;
  readonly network: networks.Network;
  readonly operators: operators.Operators;
  readonly mutations: mutations.Mutations;
  private readonly losses: losses.Losses;
  private readonly faults: faults.Faults;
  private readonly seeds: string[] = [];
  /** Every value that a node took for chosen, by its epoch: agreement, whoever looks. */
  private readonly chosen = new Map<number, string>();
  private disagreement: string | null = null;
  private joined = 0;
  /** From then on no new fault begins. */
  private isEnding = false;

  constructor(
    private readonly scenario: scenario.Scenario,
    missing: mutations.Guard,
  ) {
    this.clock = new clock.ModelClock(scenario.seed);
    this.network = new networks.Network(this.clock);
    this.mutations = new mutations.Mutations(missing);
    this.operators = new operators.Operators(this.clock, this.mutations);
    this.losses = new losses.Losses((scenario.voters - 1) / 2);
    this.faults = new faults.Faults(this.network, this.losses, this.join.bind(this));
    for (let voter = 0; voter < scenario.voters; voter += 1) this.seeds.push(`seed-${voter}:1`);
  }

  /** Null when all is as it should be; else one sentence. */
  async play(): Promise<string | null> {
    for (const address of this.seeds) void this.add(address).start(true);
    for (let spare = 0; spare < this.scenario.spares; spare += 1) this.join();
    await this.clock.play(START_MS);
    this.setWeather(this.scenario.weather);
    for (const { gapMs, command } of this.scenario.commands) {
      await this.clock.play(gapMs);
      this.run(command);
    }
    await this.clock.play(STEP_MS);
    this.isEnding = true;
    const stuck = await ending.finish(this);
    return this.disagreement ?? histories.check(this.operators.history) ?? stuck;
  }

  private add(address: string): nodes.ModelNode {
    const node = new nodes.ModelNode(this.network, address, this.seeds, this.mutations, this.noteChosen.bind(this));
    this.network.nodes.set(address, node);
    return node;
  }

  private join(): void {
    this.joined += 1;
    void this.add(`joined-${this.joined}:1`).start(false);
  }

  private noteChosen(value: schema.Value): void {
    const { voters, former, revision } = value;
    const made = JSON.stringify([revision, operators.markOf(value), voters.map(diskOf), former.map(diskOf)]);
    const known = this.chosen.get(value.epoch);
    if (known !== undefined && known !== made) this.disagreement ??= `two values chosen at epoch ${value.epoch}: ${known} and ${made}`;
    this.chosen.set(value.epoch, made);
  }

  private node(index: number): nodes.ModelNode {
    return this.network.node(index);
  }

  private run(command: commands.Command): void {
    switch (command.kind) {
      case "order":
        void this.operators.send(this.node(command.node), this.operators.create(command.isStale), command.isReplyLost);
        return;
      case "duel":
        for (let order = 0; order < command.orders; order += 1) {
          void this.operators.send(this.node(command.node + order), this.operators.create(false));
        }
        return;
      case "burst":
        void this.burst(command.node, command.orders);
        return;
      case "resend":
        return this.resend(command.node, command.order);
      case "read":
        void this.operators.read(this.node(command.node));
        return;
      case "power":
      case "wipe":
        void this.disaster(command);
        return;
      case "weather":
        this.setWeather({ lost: command.lost, doubled: command.doubled, late: command.late });
        this.clock.schedule(command.ms, this.setWeather.bind(this, networks.CALM));
        return;
      case "settle":
      case "membership":
        return this.changeVoters(command);
      default:
        this.faults.begin(command);
    }
  }

  /** A loss of power or of a disk: at once, or right after an order was confirmed. */
  private async disaster(command: Extract<commands.Command, { kind: "power" | "wipe" }>): Promise<void> {
    if (command.isAfterOrder) {
      const sending = await this.operators.send(this.node(command.slow), this.operators.create(false));
      if (sending.reply !== "confirmed" || this.isEnding) return;
    }
    if (command.kind === "wipe") this.faults.wipe(command);
    else this.faults.losePower(command);
  }

  private setWeather(weather: networks.Weather): void {
    this.network.weather = weather;
    this.losses.weather(weather.lost + weather.late, this.clock.now());
  }

  private async burst(node: number, orders: number): Promise<void> {
    for (let sent = 0; sent < orders; sent += 1) await this.operators.send(this.node(node), this.operators.create(false));
  }

  private resend(node: number, order: number): void {
    const { orders } = this.operators;
    if (orders.length > 0) void this.operators.send(this.node(node), orders[order % orders.length]);
  }

  /** A step of the membership at any moment, whatever the policy would do: safety must not hang on its patience. */
  private changeVoters(command: Extract<commands.Command, { kind: "settle" | "membership" }>): void {
    const node = this.node(command.node);
    const value = node.core?.chosen;
    if (!value) return;
    if (command.kind === "settle") {
      const settle = this.mutations.settleStep(value);
      this.clock.schedule(command.delayMs, function late() {
        void node.change(settle, command.withinMs);
      });
      return;
    }
    const silent = value.voters[command.silent % value.voters.length];
    function silentMs(voter: schema.Voter): number {
      return voter === silent ? 10 * voterPolicy.MAX_SILENT_MS : 0;
    }
    const voters = value.former.length > 0 ? null : this.mutations.nextVoters(value, this.alive(), silentMs);
    if (voters) void node.change(voterPolicy.enterJointStep(value, voters), command.withinMs);
  }

  private alive(): voterPolicy.ReachableDisk[] {
    const alive: voterPolicy.ReachableDisk[] = [];
    for (const node of this.network.nodes.values()) {
      const { disk, address } = node.describe();
      if (node.isUp && disk !== "") alive.push({ disk, node: address, address, isCounted: true, isReady: true });
    }
    return alive;
  }
}

function diskOf(voter: schema.Voter): string {
  return voter.disk;
}
