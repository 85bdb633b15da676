/**
 * Every metric of the resident host must be listed in the operators' documentation.
 */
import test from "ava";
import { readdirSync, readFileSync } from "node:fs";

const folder = "src/machines/resident";
const used = readdirSync(folder).flatMap(file => {
    const text = readFileSync(`${folder}/${file}`, "utf8");
    return [...text.matchAll(/metrics\.(?:count|timing|gauge)\(\s*"([a-z-]+)"/g)].map(match => match[1]);
});
const listed = readFileSync("docs/operations/metrics.md", "utf8").split("## Of the resident host")[1] ?? "";

for (const name of new Set(used)) {
    test(`the metric ${name} is listed`, t => t.true(listed.includes(`| \`${name}\` |`)));
}
