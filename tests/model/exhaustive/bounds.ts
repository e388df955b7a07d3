// What the bounded search is asked, and what it replies.
import type * as registerStep from "../../../src/register/register-step.js";

/** One call at a proposer: its step, and whether it is an order with a base. */
export interface Call {
  name: string;
  base: number | null;
  step: registerStep.Step;
}

export interface Bounds {
  /** The calls of each proposer, in turn. */
  programs: Call[][];
  /** Rounds that a call may begin; then the proposer goes on to its next call. */
  mostRounds: number;
  wipes: number;
  mostStates: number;
}

export interface Found {
  states: number;
  /** Whether all states within the bounds were seen. */
  isWhole: boolean;
  violation: string | null;
  /** The moves to the violation. */
  trace: string[];
}
