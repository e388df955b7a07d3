/** `cranewind rollout start|status`: roll-outs of new versions (design/rollouts 7). */
import type * as types from "../wire/types.js";
import * as client from "./client.js";
import * as commands from "./commands.js";

interface RolloutState {
  state: string;
  target_version: string;
  duration_s: number;
}

/** Starts a roll-out; the same call sent again is the same roll-out. */
export async function start(
  clock: types.Clock,
  output: commands.Output,
  controls: string[],
  order: { service: string; version: string; durationS: string },
): Promise<number> {
  const body = Buffer.from(JSON.stringify({ service: order.service, target_version: order.version, duration_s: Number(order.durationS) }));
  const headers = { "Content-Type": "application/json" };
  const outcome = await client.send(clock, controls, { method: "POST", path: "/-/Rollouts.Start", headers, body });
  if (outcome.isErr) return commands.reportFailure(output, outcome.error);
  output.line(line(order.service, outcome.value.json as RolloutState));
  return commands.EXIT.ok;
}

/** Prints how far the newest roll-out of a service is. */
export async function status(clock: types.Clock, output: commands.Output, controls: string[], service: string): Promise<number> {
  const path = `/-/Rollouts.Describe/${encodeURIComponent(service)}`;
  const outcome = await client.send(clock, controls, { method: "GET", path });
  if (outcome.isErr) return commands.reportFailure(output, outcome.error);
  output.line(line(service, outcome.value.json as RolloutState));
  return commands.EXIT.ok;
}

function line(service: string, { state, target_version: version, duration_s: durationS }: RolloutState): string {
  return `${service}: ${version} ${state}, ${durationS} s`;
}
