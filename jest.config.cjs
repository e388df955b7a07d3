module.exports = {
  testEnvironment: "node",
  // Time in tests is simulated; on a busy machine a long simulation only takes longer.
  testTimeout: 60_000,
  roots: ["<rootDir>/tests"],
  testMatch: ["**/*.test.ts"],
  transform: { "\\.[jt]s$": "<rootDir>/tests/transform.cjs" },
  transformIgnorePatterns: ["/node_modules/(?!true-myth/)"],
  moduleNameMapper: { "^(\\.{1,2}/.*)\\.js$": "$1" },
};
