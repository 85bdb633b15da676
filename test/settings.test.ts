import test from "ava";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type EditableKind, parseDocuments } from "../src/commands/objectoperations.ts";
import { describeFinding } from "../src/contracts/finding.ts";
import type { Allowance, Plan } from "../src/contracts/plan.ts";
import type { Pool } from "../src/contracts/pool.ts";
import { settingsSchema } from "../src/contracts/settings.ts";
import { referenceFindings } from "../src/decisions/references.ts";
import { readSecret } from "../src/links/settings.ts";
import { checkYaml } from "../src/links/yaml.ts";

const cases: Array<{ title: string; text: string; findings: string[] }> = [
    {
        title: "all findings are reported at once, each with its position",
        text: [
            "host:",
            "  name: Host A",
            "  zone: 7",
            "platform:",
            "  url: nowhere",
            "callers:",
            "  prot: 8080",
            "  maxBodyBytes: -1",
            "log: {}",
        ].join("\n"),
        findings: [
            "s.yaml:2:9 host.name: expected a name of lower-case letters, digits, dots and hyphens, found \"Host A\".",
            "s.yaml:3:9 host.zone: expected string, found 7.",
            "s.yaml:5:8 platform.url: expected a URL such as http://10.0.0.10:8090, found \"nowhere\".",
            "s.yaml:8:17 callers.maxBodyBytes: expected number to be >=0, found -1.",
            "s.yaml:7:9 callers.prot: expected a known name such as \"port\", found the unknown name \"prot\".",
            "s.yaml:9:6 log: expected a known name such as \"logs\", found the unknown name \"log\".",
        ],
    },
    {
        title: "a missing section is reported at the object that should contain it",
        text: "host: { name: a, zone: b }\n",
        findings: ["s.yaml:1:1 platform: expected object, found nothing."],
    },
    {
        title: "a setting that was removed",
        text: "host: { name: a, zone: b }\nplatform: { url: http://x }\nownership: { leaseMilliseconds: 9 }\n",
        findings: [
            "s.yaml:3:33 ownership.leaseMilliseconds: expected a known name such as \"renewalMilliseconds\", found the "
            + "unknown name \"leaseMilliseconds\".",
        ],
    },
    {
        title: "broken YAML",
        text: "host: { name: a\n",
        findings: [
            "s.yaml:2:1 (whole): expected valid YAML, found "
            + "Flow map in block collection must be sufficiently indented and end with a } at line 2, column 1:.",
        ],
    },
    {
        title: "an empty file",
        text: "",
        findings: [
            "s.yaml:1:1 host: expected object, found nothing.",
            "s.yaml:1:1 platform: expected object, found nothing.",
        ],
    },
    {
        title: "two documents",
        text: "host: {}\n---\nhost: {}\n",
        findings: ["s.yaml (whole): expected one document, found a second document."],
    },
];

for (const { title, text, findings } of cases) {
    test(title, t => {
        t.deepEqual(checkYaml("s.yaml", text, settingsSchema).findings.map(describeFinding), findings);
    });
}

const readExample = (path: string): Promise<string> =>
    readFile(new URL(`../examples/${path}`, import.meta.url), "utf8");

const documentsOf = async <Value>(kind: EditableKind, path: string): Promise<Map<string, Value>> => {
    const documents = parseDocuments(kind, path, await readExample(path));
    return new Map(documents.map(({ name, value }) => [name, value as Value]));
};

for (const customer of ["hallam", "verhaeghe"]) {
    test(`the examples of ${customer} have no findings`, async t => {
        const file = `${customer}.yaml`;
        t.deepEqual(checkYaml(file, await readExample(file), settingsSchema).findings, []);
        const objects = {
            plans: await documentsOf<Plan>("plans", `${customer}/plans.yaml`),
            allowances: await documentsOf<Allowance>("allowances", `${customer}/allowances.yaml`),
            pools: await documentsOf<Pool>("pools", `${customer}/pools.yaml`),
        };
        t.deepEqual(referenceFindings(objects), []);
        t.deepEqual([...objects.allowances.keys()], [...objects.plans.keys()]);
    });
}

test("the quickstart example has no findings", async t => {
    const file = "quickstart/settings.yaml";
    t.deepEqual(checkYaml(file, await readExample(file), settingsSchema).findings, []);
    const objects = {
        plans: await documentsOf<Plan>("plans", "quickstart/plan.yaml"),
        allowances: await documentsOf<Allowance>("allowances", "quickstart/allowance.yaml"),
        pools: await documentsOf<Pool>("pools", "quickstart/pool.yaml"),
    };
    t.deepEqual(referenceFindings(objects), []);
});

const secrets: Array<{ title: string; text: string | undefined; message: RegExp | undefined }> = [
    { title: "the line end is removed", text: "key\n", message: undefined },
    { title: "an empty secret", text: " \n", message: /^The secret file "key" is empty\.$/ },
    { title: "no file", text: undefined, message: /^The secret file "key" is not readable: ENOENT/ },
];

for (const { title, text, message } of secrets) {
    test(`a secret beside the settings: ${title}`, async t => {
        const folder = await mkdtemp(join(tmpdir(), "carobpier-"));
        if (text !== undefined) {
            await writeFile(join(folder, "key"), text);
        }
        const read = readSecret(join(folder, "settings.yaml"), "key");
        if (message === undefined) {
            t.is((await read).toString(), "key");
        }
        else {
            await t.throwsAsync(read, { message });
        }
        await rm(folder, { recursive: true });
    });
}
