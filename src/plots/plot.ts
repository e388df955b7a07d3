/**
 * Plots of a sweep as SVG. The library is a development dependency, loaded when a plot is asked for
 * (design/experiment 4).
 */
import type * as vega from "vega";
import type * as vegaLite from "vega-lite";
import * as errors from "../runtime/errors.js";

/** One point of a line. */
export interface Series {
  x: number;
  y: number;
  line: string;
}

/** One plot of the sheet. */
export interface Panel {
  title: string;
  yTitle: string;
  series: Series[];
}

const WIDTH = 340;
const HEIGHT = 220;

function panelSpec(panel: Panel, xTitle: string): object {
  return {
    title: panel.title,
    width: WIDTH,
    height: HEIGHT,
    data: { values: panel.series },
    mark: { type: "line", point: true },
    encoding: {
      x: { field: "x", type: "quantitative", title: xTitle },
      y: { field: "y", type: "quantitative", title: panel.yTitle, scale: { zero: true } },
      color: { field: "line", type: "nominal", title: null },
    },
  };
}

/** A sheet of panels side by side, two in a row. */
export function sheet(panels: readonly Panel[], xTitle: string): object {
  const drawn = panels.filter(hasPoints);
  function drawOne(panel: Panel): object {
    return panelSpec(panel, xTitle);
  }
  return {
    $schema: "https://vega.github.io/schema/vega-lite/v6.json",
    background: "white",
    columns: 2,
    concat: drawn.map(drawOne),
    resolve: { scale: { color: "independent" } },
  };
}

function hasPoints(panel: Panel): boolean {
  return panel.series.length > 0;
}

async function load(): Promise<{ drawing: typeof vega; compiling: typeof vegaLite }> {
  try {
    return { drawing: await import("vega"), compiling: await import("vega-lite") };
  } catch {
    throw new errors.UsageError("the plotting library is not there", "run npm ci with development dependencies, or give --no-plots");
  }
}

/** The sheet as SVG; rejects with the remedy where the library is not installed. */
export async function svg(panels: readonly Panel[], xTitle: string): Promise<string> {
  const { drawing, compiling } = await load();
  const compiled = compiling.compile(sheet(panels, xTitle) as unknown as vegaLite.TopLevelSpec);
  const drawn = new drawing.View(drawing.parse(compiled.spec), { renderer: "none" });
  try {
    return await drawn.toSVG();
  } finally {
    drawn.finalize();
  }
}
