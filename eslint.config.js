import js from "@eslint/js";
import tseslint from "typescript-eslint";

const restrictedSyntax = [
    { selector: "ForInStatement", message: "Loop over Object.keys or entries with for..of." },
    { selector: "TSEnumDeclaration", message: "Use a constant object." },
    { selector: "Literal[raw='null']", message: "Use undefined." },
    { selector: "FunctionDeclaration", message: "Use an arrow function." },
    { selector: "ClassDeclaration:not([superClass])", message: "Use a plain function that returns functions." },
];

/** Names of places in the store's history, and of terms and fences, which compare right across eras by its functions only. */
const placeName = "/^(revision|position|term|fence|(?!longTerm$|shortTerm$).+(Revision|Position|Term|Fence))$/";
const placeMessage = "Compare places, terms and fences with isLater and laterOf (src/contracts/storehistory.ts).";
/** One that looks up a value of another kind is not compared. */
const comparedPlace =
    `Identifier[name=${placeName}]:not(CallExpression[callee.property.name="get"] > MemberExpression.arguments > Identifier)`;
const restrictedComparisons = [
    "BinaryExpression[operator=/^([<>]=?|-)$/]",
    "CallExpression[callee.object.name=\"Math\"][callee.property.name=/^(max|min)$/]",
].map(comparison => ({ selector: `${comparison} ${comparedPlace}`, message: placeMessage }));

const houseRules = {
    curly: ["error", "all"],
    eqeqeq: "error",
    "one-var": ["error", "never"],
    "prefer-arrow-callback": "error",
    "no-restricted-syntax": ["error", ...restrictedSyntax],
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
    {
        files: ["platform/**/*.ts", "src/machines/resident/**/*.ts", "src/decisions/**/*.ts", "src/contracts/**/*.ts"],
        // The others compare revisions of the product's own platform, which has no eras, or positions in a queue.
        ignores: [
            "src/contracts/storehistory.ts",
            "src/decisions/{admission,grant,move,revisiontracker,witness}.ts",
        ],
        rules: { "no-restricted-syntax": ["error", ...restrictedSyntax, ...restrictedComparisons] },
    },
);
