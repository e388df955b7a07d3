// Regions that are cut off, by the word of the control nodes (design/members 4).
import * as networkPartitions from "../../src/feed/network-partitions.js";
import type * as dialer from "../../src/feed/dialer.js";
import * as types from "../../src/wire/types.js";
import * as simulatedNodes from "../sim/simulated-nodes.js";

interface Held {
  region: string;
  silentMs: number;
  word?: string[];
}

function dialOf(held: Held[], known: string[]): dialer.Dialer {
  const controls = new Map(
    held.map(({ region, silentMs, word }, index) => [
      `${region}${index}`,
      { node: simulatedNodes.nodeOf("n", "control", region, ""), heartbeatAt: 0, heartbeat: word && { silentRegions: word }, silentMs },
    ]),
  );
  const targets = new Map([...controls.keys(), ...known].map((address) => [address, { region: address[0], failures: 0 }]));
  const silent = new Set(
    held.map((item) => item.region).filter((region) => held.every((item) => item.region !== region || item.silentMs > 750)),
  );
  return { controls, targets, silentRegions: () => [...silent] } as unknown as dialer.Dialer;
}

const CUTS: [string, Held[], string[], string[]][] = [
  [
    "all heard",
    [
      { region: "a", silentMs: 0, word: [] },
      { region: "b", silentMs: 0 },
    ],
    [],
    [],
  ],
  [
    "own links silent, the region held whole",
    [
      { region: "a", silentMs: 0, word: [] },
      { region: "b", silentMs: 900 },
    ],
    [],
    ["b"],
  ],
  [
    "one of its control nodes silent, another not held here, the own region hears it",
    [
      { region: "a", silentMs: 0, word: [] },
      { region: "b", silentMs: 900 },
    ],
    ["b9"],
    [],
  ],
  [
    "the same, and the own region says it is cut",
    [
      { region: "a", silentMs: 0, word: ["b"] },
      { region: "b", silentMs: 900 },
    ],
    ["b9"],
    ["b"],
  ],
  [
    "no link to it, the own region says it is cut",
    [
      { region: "a", silentMs: 0, word: ["c"] },
      { region: "b", silentMs: 0 },
    ],
    ["c9"],
    ["c"],
  ],
  [
    "the own region's control nodes do not agree",
    [
      { region: "a", silentMs: 0, word: ["c"] },
      { region: "a", silentMs: 0, word: [] },
    ],
    ["c9"],
    [],
  ],
  [
    "this router hears it itself",
    [
      { region: "a", silentMs: 0, word: ["b"] },
      { region: "b", silentMs: 0 },
    ],
    [],
    [],
  ],
  [
    "nobody of the own region to ask",
    [
      { region: "b", silentMs: 900 },
      { region: "c", silentMs: 0 },
    ],
    ["b9"],
    ["b"],
  ],
];

test.each(CUTS)("cut regions: %s", (_name, held, known, cut) => {
  expect([...networkPartitions.partitionedRegions(dialOf(held, known), "a", types.small(0))]).toEqual(cut);
});
