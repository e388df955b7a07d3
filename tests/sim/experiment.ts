/** Options of an experiment in tests. */
import * as experiment from "../../src/experiment/options.js";

export function options(more: Partial<experiment.Options> = {}): experiment.Options {
  return { ...experiment.DEFAULTS, ...more };
}
