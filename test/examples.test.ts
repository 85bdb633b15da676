import test from "ava";
import { transform } from "esbuild";
import { readdir, readFile } from "node:fs/promises";
import * as library from "../src/index.ts";

/** Reads the `@example` blocks in the doc comments of src/decisions, with the name of the module of each. */
const readExamples = async (): Promise<Array<{ module: string; code: string }>> => {
    const folder = new URL("../src/decisions/", import.meta.url);
    const found: Array<{ module: string; code: string }> = [];
    for (const module of (await readdir(folder)).sort()) {
        const text = await readFile(new URL(module, folder), "utf8");
        for (const match of text.matchAll(/ \* @example\n((?: \*.*\n)*?) \*\//g)) {
            const code = match[1].split("\n").map(line => line.replace(/^ \* ?/, "")).join("\n");
            found.push({ module, code });
        }
    }
    return found;
};

/** Turns each line `expression; // value` into a check that the expression has the value. */
const addChecks = (code: string): string => code.replace(/^(?!const |let )(.+); \/\/ (.+)$/gm, "check($1, $2);");

const examples = await readExamples();

for (const [index, { module, code }] of examples.entries()) {
    test(`example ${index + 1} of ${module} has the values that its comments state`, async t => {
        let checks = 0;
        const check = (found: unknown, expected: unknown): void => {
            checks += 1;
            t.deepEqual(found, expected);
        };
        const { code: script } = await transform(addChecks(code), { loader: "ts" });
        const names = Object.keys(library);
        const body = `return (async () => { ${script} })();`;
        const run = new Function("check", ...names, body) as (...given: unknown[]) => Promise<void>;
        await run(check, ...Object.values(library));
        t.true(checks > 0, "The example states no value.");
    });
}
