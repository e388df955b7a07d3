// Rules of the linter: type-checked correctness rules, naming, doc comments on exports, callbacks. No rule bounds the length
// of a file or a function.
import eslint from "@eslint/js";
import globals from "globals";
import tseslint from "typescript-eslint";
import documentedExports from "./lint/documented-exports.mjs";
import innerFunctionBeforeUse from "./lint/inner-function-before-use.mjs";

/** Names of the field's usual case: types in PascalCase; constants of a module in UPPER_CASE or, for instances and functions, camelCase. */
const NAMING = [
  "error",
  { selector: "typeLike", format: ["PascalCase"] },
  { selector: "function", format: ["camelCase"] },
  { selector: "variable", modifiers: ["const"], format: ["UPPER_CASE", "camelCase"], leadingUnderscore: "allow" },
  { selector: "variable", format: ["camelCase"], leadingUnderscore: "allow" },
  { selector: ["variable", "parameter"], modifiers: ["destructured"], format: null },
  { selector: ["variable", "parameter"], filter: "^[A-Z].*Class$", format: ["PascalCase"] },
  { selector: "parameter", format: ["camelCase"], leadingUnderscore: "allow" },
  { selector: "classMethod", modifiers: ["override"], format: null },
  { selector: "classMethod", format: ["camelCase"] },
  { selector: "classProperty", modifiers: ["private"], format: ["camelCase"] },
  { selector: "import", format: ["camelCase", "PascalCase"] },
];

const RESTRICTED_SYNTAX = [
  "error",
  { selector: "TSAsExpression > TSTypeReference > Identifier[name='Error']", message: "Use errors.messageOf(cause)." },
];

export default tseslint.config(
  { ignores: ["target/", "node_modules/", "journal/", "docs/"] },
  eslint.configs.recommended,
  { files: ["**/*.mjs", "**/*.cjs"], languageOptions: { globals: globals.node } },
  {
    files: ["**/*.ts"],
    extends: [tseslint.configs.recommendedTypeChecked],
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
      "@typescript-eslint/no-floating-promises": "error",
      "@typescript-eslint/no-misused-promises": "error",
      "@typescript-eslint/naming-convention": NAMING,
      "no-restricted-syntax": RESTRICTED_SYNTAX,
    },
  },
  {
    files: ["src/**/*.ts"],
    ignores: ["**/*.d.ts"],
    plugins: { cranewind: { rules: { "documented-exports": documentedExports, "inner-function-before-use": innerFunctionBeforeUse } } },
    rules: { "cranewind/documented-exports": "error", "cranewind/inner-function-before-use": "error" },
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
);
