// Rules of the linter: type-checked correctness rules. No rule bounds the length of a file or a function.
import eslint from "@eslint/js";
import globals from "globals";
import tseslint from "typescript-eslint";

export default tseslint.config(
  { ignores: ["target/", "node_modules/", "journal/", "docs/"] },
  eslint.configs.recommended,
  { files: ["**/*.mjs", "**/*.cjs"], languageOptions: { globals: globals.node } },
  {
    files: ["**/*.ts"],
    extends: [tseslint.configs.recommendedTypeChecked],
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: { "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }] },
  },
  // Assertions of jest take methods as values and `any` from their matchers.
  {
    files: ["tests/**/*.ts"],
    rules: {
      "@typescript-eslint/unbound-method": "off",
      "@typescript-eslint/no-unsafe-assignment": "off",
      "@typescript-eslint/no-unsafe-return": "off",
      "@typescript-eslint/require-await": "off",
    },
  },
  // To be taken out as these files are rewritten.
  { files: ["src/control/leases/leases.ts", "tests/sim/core.ts"], rules: { "@typescript-eslint/no-this-alias": "off" } },
  { files: ["src/control/program.ts"], rules: { "@typescript-eslint/unbound-method": "off" } },
);
