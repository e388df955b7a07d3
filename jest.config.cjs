module.exports = {
  testEnvironment: "node",
  // Only against tests that hang: how long a test takes depends on what else runs on the machine, and proves nothing.
  testTimeout: 1_200_000,
  roots: ["<rootDir>/tests"],
  testMatch: ["**/*.test.ts"],
  transform: { "\\.[jt]s$": "<rootDir>/tests/transform.cjs" },
  transformIgnorePatterns: ["/node_modules/(?!true-myth/)"],
  moduleNameMapper: { "^(\\.{1,2}/.*)\\.js$": "$1" },
};
