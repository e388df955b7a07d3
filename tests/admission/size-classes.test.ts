// Large requests of a route are to be admitted as often as its others (design/admission 5).
import * as sizeClasses from "../../src/admission/size-classes.js";

test("a size class that is admitted less often than the route is found to be held back", () => {
  const made = new sizeClasses.SizeClasses();
  for (let count = 0; count < 300; count += 1) made.record(1 + (count % 100), count % 100 < 90);
  expect([made.classOf(100), made.classOf(85), made.classOf(10)]).toEqual([0, 1, 2]);
  expect([made.isDisadvantaged(100), made.isDisadvantaged(10)]).toEqual([true, false]);
});

test.each<[string, number, boolean, boolean]>([
  ["never", 0, true, true],
  ["half as often", 2, true, true],
  ["four times in five", 5, true, false],
  ["as often", 1, false, false],
])("finds the largest tenth held back or starved when it is admitted %s", (_name, every, isDisadvantaged, isStarved) => {
  const made = new sizeClasses.SizeClasses();
  for (let count = 0; count < 2000; count += 1) {
    const size = 1 + ((count * 37) % 100);
    const isLarge = made.classOf(size) === 0;
    const turn = Math.floor(count / 100);
    const isIn = every === 1 || (every === 2 && turn % 2 === 0) || (every === 5 && turn % 5 > 0);
    made.record(size, !isLarge || isIn);
  }
  expect([made.isDisadvantaged(100), made.isStarved(100), made.isStarved(10)]).toEqual([isDisadvantaged, isStarved, false]);
});
