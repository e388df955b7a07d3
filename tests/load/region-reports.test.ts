// Which reports of a region are published in a period (design/usage 3.1, 3.2).
import * as regionReports from "../../src/load/region-reports.js";
import * as load from "../sim/load.js";

const { report } = load;

const CAPACITY_64 = { get: () => 64 };

test("a value that moves to and fro within one step is published once", () => {
  const picture = new regionReports.RegionReports("r");
  let told = 0;
  for (let turn = 0; turn < 100; turn += 1) {
    const reports = [report("a", { active: turn % 2 === 0 ? 31 : 33 })];
    const news = picture.selectChanges(reports, CAPACITY_64).filter((item) => picture.reports.get(item.id) !== item);
    told += news.length;
    picture.apply(news, turn);
  }
  expect(told).toBe(1);
});

test("each report is published again unchanged within the rolling refresh, to repair lost updates", () => {
  const picture = new regionReports.RegionReports("r");
  const reports = Array.from({ length: 200 }, (_item, index) => report(`i-${index}`, { active: 20 }));
  picture.apply(picture.selectChanges(reports, CAPACITY_64), 0);
  const moved = reports.map((item) => ({ ...item, active: 21 }));
  const seen = new Map<string, number>();
  for (let turn = 0; turn < regionReports.REFRESH_PARTS; turn += 1) {
    const told = picture.selectChanges(moved, CAPACITY_64);
    expect(told.length).toBeLessThan(40);
    for (const item of told) seen.set(item.id, item.active);
  }
  expect(seen).toEqual(new Map(reports.map((item) => [item.id, 20])));
});

test("beyond the limit of a period the largest changes are published first, changes of status always", () => {
  const picture = new regionReports.RegionReports("r");
  const reports = Array.from({ length: 300 }, (_item, index) => report(`i-${index}`));
  picture.apply(picture.selectChanges(reports, CAPACITY_64), 0);
  const moved = reports.map((item, index) => report(item.id, { active: index < 10 ? 40 : 8, isSpeaking: index < 250 }));
  const told = picture.selectChanges(moved, CAPACITY_64).filter((item) => item.active > 0);
  expect(told.filter((item) => !item.isSpeaking)).toHaveLength(50);
  expect(told).toHaveLength(50);
  picture.apply(told, 1);
  const next = picture.selectChanges(moved, CAPACITY_64).filter((item) => item.active > 0 && item.isSpeaking);
  expect(next).toHaveLength(regionReports.MAX_CHANGED);
  expect(next.slice(0, 10).every((item) => item.active === 40)).toBe(true);
  let turns = 0;
  for (; turns < 20 && [...picture.reports.values()].some((item) => item.active === 0); turns += 1)
    picture.apply(picture.selectChanges(moved, CAPACITY_64), 2);
  expect(turns).toBeLessThanOrEqual(8);
});
