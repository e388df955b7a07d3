/** The calls between the control nodes that share one register, and how they know each other's disks in it. */
import * as calls from "../wire/calls.js";
import type * as controlNode from "../feed/control-node.js";

/** One register's calls. Two registers of the same nodes have different calls, and disks of their own. */
export interface RegisterChannel {
  /** For the log. */
  readonly name: string;
  /** Whether each epoch is a line of the log; else only a change of voters is. */
  readonly logsEpochs: boolean;
  readonly prepare: typeof calls.prepare;
  readonly accept: typeof calls.accept;
  readonly chosen: typeof calls.chosen;
  readonly requestChosen: typeof calls.ask;
  /** The disk of a peer; empty: not known yet, or none. */
  diskOf(control: controlNode.ControlNode): string;
}

/** The channel of the configuration's register: a peer's hello names its disk. */
export const CONFIGURATION_CHANNEL: RegisterChannel = {
  name: "register",
  logsEpochs: true,
  prepare: calls.prepare,
  accept: calls.accept,
  chosen: calls.chosen,
  requestChosen: calls.ask,
  diskOf: (control) => control.node.disk,
};
