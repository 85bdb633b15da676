import js from "@eslint/js";
import tseslint from "typescript-eslint";

const houseRules = {
    curly: ["error", "all"],
    eqeqeq: "error",
    "one-var": ["error", "never"],
    "prefer-arrow-callback": "error",
    "no-restricted-syntax": [
        "error",
        { selector: "ForInStatement", message: "Loop over Object.keys or entries with for..of." },
        { selector: "TSEnumDeclaration", message: "Use a constant object." },
        { selector: "Literal[raw='null']", message: "Use undefined." },
        { selector: "FunctionDeclaration", message: "Use an arrow function." },
        { selector: "ClassDeclaration:not([superClass])", message: "Use a plain function that returns functions." },
    ],
    "@typescript-eslint/naming-convention": [
        "error",
        { selector: "default", format: ["camelCase"], leadingUnderscore: "forbid", trailingUnderscore: "forbid" },
        { selector: "import", format: ["camelCase", "PascalCase"] },
        { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
        { selector: "variable", format: ["camelCase", "PascalCase"] },
        { selector: ["objectLiteralProperty", "typeProperty", "objectLiteralMethod"], format: null },
    ],
    "@typescript-eslint/no-floating-promises": "error",
    "@typescript-eslint/no-misused-promises": ["error", { checksVoidReturn: false }],
    "@typescript-eslint/consistent-type-imports": "error",
    "@typescript-eslint/switch-exhaustiveness-check": "error",
};

export default tseslint.config(
    { ignores: ["dist", "target", "node_modules"] },
    js.configs.recommended,
    ...tseslint.configs.recommended,
    {
        files: ["**/*.cjs"],
        languageOptions: {
            globals: {
                require: "readonly",
                process: "readonly",
                __dirname: "readonly",
                __filename: "readonly",
                performance: "readonly",
                setInterval: "readonly",
                clearInterval: "readonly",
            },
        },
        rules: { "@typescript-eslint/no-require-imports": "off" },
    },
    {
        files: ["**/*.ts"],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: houseRules,
    },
);
