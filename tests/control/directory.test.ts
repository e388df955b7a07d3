// Which routers the directory names (design 4.3).
import * as directory from "../../src/control/directory/directory.js";
import * as types from "../../src/wire/types.js";
import * as schema from "../../src/wire/schema.js";

function node(name: string, region: string, isReady: boolean): schema.NodeInfo {
  return {
    name,
    role: "router",
    life: name,
    zone: `${region}-1`,
    region,
    address: "",
    outside: `${name}:1`,
    disk: "",
    isCounted: false,
    isReady,
    epoch: types.small(1),
  };
}

function heard(item: schema.NodeInfo): { node: schema.NodeInfo; isConfirmed: boolean } {
  return { node: item, isConfirmed: true };
}

test("the directory lists near and ready routers first, others when there are none, and is never empty", () => {
  const all = [node("a", "r", true), node("b", "r", false), node("c", "q", true)].map(heard);
  expect(directory.nearestRouters(all, { region: "r", zone: "r-1" }).map((item) => item.name)).toEqual(["a"]);
  expect(directory.nearestRouters(all, { region: "p", zone: "p-1" }).map((item) => item.name)).toEqual(["a", "c"]);
  expect(directory.nearestRouters([heard(node("b", "r", false))], { region: "q", zone: "q-1" }).map((item) => item.name)).toEqual(["b"]);
});
