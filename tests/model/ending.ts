// The end of a history: all faults end, and within a bound the core must decide again, for every node that is up.
import type * as schema from "../../src/wire/schema.js";
import * as networks from "./network.js";
import type * as nodes from "./node.js";
import type * as player from "./player.js";

/** From the end of all faults until orders must be decided by whoever takes them, in milliseconds. */
export const HEAL_MS = 8000;
/** An operator tries an order that often, on new bases. */
const MAX_SENDINGS = 3;
const CALL_MS = 4000;
const STEP_MS = 20;

function heal(player: player.Player): void {
  player.network.heal();
  player.network.weather = networks.CALM;
  for (const node of player.network.nodes.values()) {
    node.disk.trouble = "none";
    if (node.isFrozen) node.thaw();
    if (!node.isUp) void node.start(false);
  }
}

/** Plays until the promise is settled; null when it is not within the time. */
async function within<T>(player: player.Player, promise: Promise<T>, mostMs: number): Promise<T | null> {
  let made: T | null = null;
  let isDone = false;
  void promise.then(function done(value) {
    made = value;
    isDone = true;
  });
  for (let ms = 0; ms < mostMs && !isDone; ms += STEP_MS) await player.clock.play(STEP_MS);
  return made;
}

async function decides(player: player.Player, node: nodes.ModelNode): Promise<boolean> {
  const { operators } = player;
  for (let sent = 0; sent < MAX_SENDINGS; sent += 1) {
    const sending = await within(player, operators.send(node, operators.create(false)), CALL_MS);
    if (sending?.reply === "confirmed") return true;
    await within(player, operators.read(node), CALL_MS);
  }
  return false;
}

/** The nodes with what each holds, for the report of a core that stands still. */
function summary(player: player.Player): string {
  return [...player.network.nodes.values()].map(stateOf).join("; ");
}

function stateOf(node: nodes.ModelNode): string {
  const accepted = node.voter?.accepted;
  const held = accepted ? `accepted ${accepted.ballot.n} ${valueOf(accepted.value)}` : "accepted nothing";
  return `${node.describe().disk} ${held}, knows ${node.core?.chosen ? valueOf(node.core.chosen) : "nothing"}`;
}

function valueOf(value: schema.Value): string {
  const former = value.former.length > 0 ? ` former ${value.former.map(diskOf).join()}` : "";
  return `epoch ${value.epoch}/${value.voterEpoch} {${value.voters.map(diskOf).join()}${former}}`;
}

function diskOf(voter: schema.Voter): string {
  return voter.disk;
}

/** Null, or who cannot decide. */
export async function finish(player: player.Player): Promise<string | null> {
  heal(player);
  await player.clock.play(HEAL_MS);
  for (const node of player.network.nodes.values()) {
    if (!(await decides(player, node))) return `${node.address} decides nothing ${HEAL_MS} ms after all faults ended: ${summary(player)}`;
  }
  await resendAll(player);
  return null;
}

/** Each order once more: those that were taken are acknowledged again. */
async function resendAll(player: player.Player): Promise<void> {
  const { operators } = player;
  const nodes = [...player.network.nodes.values()];
  for (const [index, order] of operators.orders.entries()) {
    await within(player, operators.send(nodes[index % nodes.length], order), CALL_MS);
  }
  for (const node of nodes) await within(player, operators.read(node), CALL_MS);
}
