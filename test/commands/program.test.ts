/**
 * Runs the program as operators do and checks the exit code and the JSON of each command.
 */
import test from "ava";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createPlatformStandIn, type PlatformStandIn } from "../../stand-ins/platform.ts";
import { runProgram } from "./program.ts";

const files = {
    "new.yaml": "name: new\ncustomer: hallam\ntokenHashes: []\n",
    "stale.yaml": "name: hallam\nversion: 1\ncustomer: hallam\ntokenHashes: []\nconcurrency: 3\n",
    "bad.yaml": "name: new\ncustomr: hallam\n",
};

const unreachableHost = {
    zone: "zone-1",
    incarnation: "lost-1",
    peerAddress: "127.0.0.1:1",
    operatorAddress: "127.0.0.1:1",
    size: 1,
    state: "live",
};

/** Starts a platform on which the plan "hallam" has version 2. */
const startPlatform = async (): Promise<PlatformStandIn> => {
    const platform = await createPlatformStandIn();
    platform.write("plans", "hallam", { customer: "hallam", tokenHashes: [] });
    platform.write("plans", "hallam", { customer: "hallam", tokenHashes: [], concurrency: 2 });
    return platform;
};

type Case = {
    title: string;
    commandLine: string;
    exitCode: number;
    prepare?: (platform: PlatformStandIn) => void;
    /** Selects the part of the JSON on standard output that must equal `expected`. */
    json?: (answer: Record<string, unknown>) => unknown;
    expected?: unknown;
};

const cases: Case[] = [
    {
        title: "list",
        commandLine: "plan list --json",
        exitCode: 0,
        json: answer => (answer["items"] as Array<{ name: string }>).map(item => item.name),
        expected: ["hallam"],
    },
    {
        title: "show",
        commandLine: "plan show hallam --json",
        exitCode: 0,
        json: answer => answer["version"],
        expected: 2,
    },
    { title: "a file that differs", commandLine: "plan diff -f stale.yaml", exitCode: 1 },
    {
        title: "apply and wait",
        commandLine: "plan apply -f new.yaml --wait --json",
        exitCode: 0,
        json: answer => answer["written"],
        expected: [{ place: "plans/new", version: 3, changed: true, replyLost: false }],
    },
    {
        title: "edit",
        commandLine: "plan edit hallam --set concurrency=9 --json",
        exitCode: 0,
        json: answer => (answer["written"] as { version: number }).version,
        expected: 3,
    },
    { title: "delete", commandLine: "plan delete hallam --json", exitCode: 0 },
    { title: "a file with findings", commandLine: "plan apply -f bad.yaml --json", exitCode: 2 },
    { title: "a name that does not exist", commandLine: "pool show nowhere", exitCode: 2 },
    { title: "an unknown flag", commandLine: "allowance list --nope", exitCode: 2 },
    { title: "another operator wrote first", commandLine: "plan apply -f stale.yaml --json", exitCode: 3 },
    {
        title: "the platform does not answer",
        commandLine: "plan list --json",
        exitCode: 4,
        prepare: platform => platform.changeFaults({ down: true }),
        json: answer => (answer["error"] as { name: string }).name,
        expected: "PlatformError",
    },
    {
        title: "not in force in time",
        commandLine: "plan edit hallam --set concurrency=9 --wait --timeout 1 --json",
        exitCode: 5,
        prepare: platform => platform.write("status", "host-a", unreachableHost),
        json: answer => (answer["wait"] as { hosts: unknown }).hosts,
        expected: { "host-a": "unreachable" },
    },
    {
        title: "status with a host that does not answer",
        commandLine: "status --json",
        exitCode: 5,
        prepare: platform => platform.write("status", "host-a", unreachableHost),
        json: answer => answer["cutOff"],
        expected: ["host-a"],
    },
];

for (const { title, commandLine, exitCode, prepare, json, expected } of cases) {
    test.serial(`carobpier ${commandLine}: ${title}`, async t => {
        const platform = await startPlatform();
        const folder = await mkdtemp(join(tmpdir(), "carobpier-"));
        await Promise.all(Object.entries(files).map(([name, text]) => writeFile(join(folder, name), text)));
        prepare?.(platform);
        const words = commandLine.split(" ").map(word => word.endsWith(".yaml") ? join(folder, word) : word);
        const result = await runProgram([...words, "--platform", platform.url]);
        t.is(result.exitCode, exitCode);
        if (json !== undefined) {
            t.deepEqual(json(JSON.parse(result.output) as Record<string, unknown>), expected as never);
        }
        await rm(folder, { recursive: true });
        await platform.close();
    });
}
