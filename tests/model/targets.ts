// Picks the machine whose disk a wipe takes: any, a voter, or one that is only about to become a voter.
import type * as schema from "../../src/wire/schema.js";
import type * as nodes from "./node.js";

/** What a wipe is aimed at; where no machine fits, any is taken. */
export interface Aim {
  node: number;
  target: "any" | "joiner" | "voter";
}

export function find(all: nodes.ModelNode[], aim: Aim): nodes.ModelNode {
  const accepted: schema.Value[] = [];
  for (const node of all) if (node.voter?.accepted) accepted.push(node.voter.accepted.value);
  const fitting = all.filter(isFitting);
  const among = fitting.length > 0 ? fitting : all;
  return among[aim.node % among.length];
  function isFitting(node: nodes.ModelNode): boolean {
    const disk = node.voter?.disk;
    if (aim.target === "any" || disk === undefined) return aim.target === "any";
    return accepted.some(aim.target === "voter" ? votesIn.bind(null, disk) : joinsIn.bind(null, disk));
  }
}

function votesIn(disk: string, value: schema.Value): boolean {
  return value.voters.some((voter) => voter.disk === disk);
}

/** Accepted somewhere with the disk among the new voters; it need not be chosen. */
function joinsIn(disk: string, value: schema.Value): boolean {
  return value.former.length > 0 && votesIn(disk, value) && !value.former.some((voter) => voter.disk === disk);
}
