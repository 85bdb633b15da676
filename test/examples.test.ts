import test from "ava";
import { transform } from "esbuild";
import { readdir, readFile } from "node:fs/promises";
import * as library from "../src/index.ts";

/** Doc comment examples of the library, by the module that holds them. */
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

/** Turns each `expression; // value` into a check. */
const withChecks = (code: string): string => code.replace(/^(?!const |let )(.+); \/\/ (.+)$/gm, "check($1, $2);");

const examples = await readExamples();

for (const [index, { module, code }] of examples.entries()) {
    test(`example ${index + 1} of ${module} gives what its comments say`, async t => {
        let checks = 0;
        const check = (found: unknown, expected: unknown): void => {
            checks += 1;
            t.deepEqual(found, expected);
        };
        const { code: script } = await transform(withChecks(code), { loader: "ts" });
        const names = Object.keys(library);
        const body = `return (async () => { ${script} })();`;
        const run = new Function("check", ...names, body) as (...given: unknown[]) => Promise<void>;
        await run(check, ...Object.values(library));
        t.true(checks > 0, "The example states no value.");
    });
}
