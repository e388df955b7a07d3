module.exports = {
  testEnvironment: "node",
  roots: ["<rootDir>/tests"],
  testMatch: ["**/*.test.ts"],
  transform: { "\\.[jt]s$": "<rootDir>/tests/transform.cjs" },
  transformIgnorePatterns: ["/node_modules/(?!true-myth/)"],
  moduleNameMapper: { "^(\\.{1,2}/.*)\\.js$": "$1" },
};
