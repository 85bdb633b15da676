import test from "ava";
import {
    applyDocuments,
    deleteObject,
    editObject,
    parseDocuments,
    readReferenceFindings,
    showObject,
} from "../../src/commands/objectoperations.ts";
import { describeFinding } from "../../src/contracts/finding.ts";
import type { Edit } from "../../src/decisions/edits.ts";
import { systemClock } from "../../src/links/clock.ts";
import { createPlatformStandIn, type PlatformStandIn } from "../../stand-ins/platform.ts";
import { createOperator } from "../commands/operators.ts";
import { createTranscript, type Transcript } from "./transcript.ts";

const set = (path: string, value: unknown): Edit[] => [{ action: "set", path, value }];

const startPlatform = async (): Promise<PlatformStandIn> => {
    const platform = await createPlatformStandIn();
    platform.write("plans", "hallam", {
        customer: "hallam",
        tokenHashes: [],
        rate: { perSecond: 100, burst: 20 },
        concurrency: 8,
    });
    return platform;
};

const noteWrites = (transcript: Transcript, platform: PlatformStandIn): void => {
    for (const { kind, name, version, writeId, deleted, value } of platform.writes) {
        const state = deleted ? "deleted" : JSON.stringify(value);
        transcript.note(`platform: ${kind}/${name} version ${version} by ${writeId}: ${state}`);
    }
};

test("two operators edit the same plan at once", async t => {
    const transcript = createTranscript();
    const platform = await startPlatform();
    const first = createOperator("first", platform, transcript.note);
    const second = createOperator("second", platform, transcript.note);
    const seen = await showObject(second.options(), "hallam");
    const fileOf = (version: number, perSecond: number): string =>
        `{ name: hallam, version: ${version}, customer: hallam, tokenHashes: [], concurrency: 8,\n`
        + `  rate: { perSecond: ${perSecond}, burst: 20 } }\n`;
    await first.run(
        "plan edit hallam --set rate.perSecond=200",
        () => editObject(first.options(), "hallam", set("rate.perSecond", 200)),
    );
    await second.run(
        "plan edit hallam --version 1 --set concurrency=16",
        () => editObject(second.options(), "hallam", set("concurrency", 16), seen.version),
    );
    await second.run(
        "plan apply -f hallam.yaml (made from version 1)",
        () =>
            applyDocuments(second.options(), parseDocuments("plans", "hallam.yaml", fileOf(1, 50)), { replace: false }),
    );
    await second.run(
        "plan edit hallam --set concurrency=16",
        () => editObject(second.options(), "hallam", set("concurrency", 16)),
    );
    const options = second.options();
    const overtaken = {
        ...options,
        platform: {
            ...options.platform,
            put: async (request: Parameters<typeof options.platform.put>[0]) => {
                await editObject(first.options(), "hallam", set("rate.burst", 40));
                return options.platform.put(request);
            },
        },
    };
    await second.run(
        "plan edit hallam --set rate.perSecond=250 (the first writes between read and write)",
        () => editObject(overtaken, "hallam", set("rate.perSecond", 250)),
    );
    await first.run("plan delete hallam --version 2", () => deleteObject(first.options(), "hallam", 2));
    noteWrites(transcript, platform);
    await Promise.all([first.close(), second.close(), platform.close()]);
    await transcript.compare(t, "two-operators");
});

test("a reply is lost after the write took effect", async t => {
    const transcript = createTranscript();
    const platform = await startPlatform();
    const operator = createOperator("operator", platform, transcript.note);
    platform.faults.loseReplies = 1;
    await operator.run(
        "plan edit hallam --set rate.perSecond=200",
        () => editObject(operator.options(), "hallam", set("rate.perSecond", 200)),
    );
    platform.faults.loseReplies = 2;
    await operator.run(
        "plan edit hallam --set rate.perSecond=300",
        () => editObject(operator.options(), "hallam", set("rate.perSecond", 300)),
    );
    platform.faults.loseReplies = 1;
    await operator.run("plan delete hallam", () => deleteObject(operator.options(), "hallam"));
    platform.write("plans", "hallam", { customer: "hallam", tokenHashes: [], concurrency: 8 });
    platform.faults.loseReplies = 1;
    const overwrite = async (): Promise<void> => {
        platform.write("plans", "hallam", { customer: "hallam", tokenHashes: [], concurrency: 9 });
    };
    const overtaken = { ...operator.options(), clock: { ...systemClock, sleep: overwrite } };
    await operator.run(
        "plan edit hallam --set concurrency=16 (another operator writes before it is sent again)",
        () => editObject(overtaken, "hallam", set("concurrency", 16)),
    );
    noteWrites(transcript, platform);
    await Promise.all([operator.close(), platform.close()]);
    await transcript.compare(t, "lost-reply");
});

test("the platform is out during an edit", async t => {
    const transcript = createTranscript();
    const platform = await startPlatform();
    const withoutCause = (line: string): void =>
        transcript.note(line.replace(/(did not answer \w+ \S+): .*?\.( Whether|$)/, "$1: CAUSE.$2"));
    const operator = createOperator("operator", platform, withoutCause);
    const edit = (): Promise<unknown> => editObject(operator.options(), "hallam", set("rate.perSecond", 200));
    platform.faults.down = true;
    await operator.run("plan edit hallam --set rate.perSecond=200 (platform out)", edit);
    platform.faults.down = false;
    const { options } = operator;
    const failing = options();
    const put = failing.platform.put.bind(failing.platform);
    const outDuringWrite = {
        ...failing,
        platform: {
            ...failing.platform,
            put: (request: Parameters<typeof put>[0]) => {
                platform.faults.down = true;
                return put(request);
            },
        },
    };
    await operator.run(
        "plan edit hallam --set rate.perSecond=200 (platform out between read and write)",
        () => editObject(outDuringWrite, "hallam", set("rate.perSecond", 200)),
    );
    platform.faults.down = false;
    transcript.note(`platform: ${platform.writes.length} write so far`);
    await operator.run("plan edit hallam --set rate.perSecond=200 (platform back)", edit);
    noteWrites(transcript, platform);
    await Promise.all([operator.close(), platform.close()]);
    await transcript.compare(t, "outage-during-edit");
});

test("findings of files, edits and references", async t => {
    const transcript = createTranscript();
    const platform = await startPlatform();
    const operator = createOperator("operator", platform, transcript.note);
    const bad = "name: Hallam\ncustomer: hallam\ntokenHashes: [short]\n---\nname: other\ncustomr: x\n";
    await operator.run(
        "plan apply -f bad.yaml",
        () => applyDocuments(operator.options(), parseDocuments("plans", "bad.yaml", bad), { replace: false }),
    );
    await operator.run(
        "plan edit hallam --set rate.perSecond=-1 --remove notes --add customer=x",
        () =>
            editObject(operator.options(), "hallam", [
                ...set("rate.perSecond", -1),
                { action: "remove", path: "notes", value: undefined },
                { action: "add", path: "customer", value: "x" },
            ]),
    );
    const allowance = "name: hallam\nuses: [{ pool: nowhere }]\n---\nname: nobody\nuses: []\n";
    await operator.run(
        "allowance apply -f allowance.yaml",
        () =>
            applyDocuments(operator.options("allowances"), parseDocuments("allowances", "allowance.yaml", allowance), {
                replace: false,
            }),
    );
    for (const finding of await readReferenceFindings(operator.options().platform)) {
        transcript.note(`finding: ${describeFinding(finding)}`);
    }
    noteWrites(transcript, platform);
    await Promise.all([operator.close(), platform.close()]);
    await transcript.compare(t, "operator-findings");
});
