/**
 * Settings of a resident host: findings with their places, and changes of the file while the host runs.
 */
import test from "ava";
import { execFileSync } from "node:child_process";
import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { InputError } from "../../src/contracts/errors.ts";
import type { ResidentSettings } from "../../src/contracts/residentsettings.ts";
import { codeOf } from "../../src/decisions/startwait.ts";
import type { Log } from "../../src/links/logs.ts";
import { silentLog } from "../../src/links/logs.ts";
import {
    awaitResidentSettings,
    readResidentSettings,
    type SettingsText,
    watchSettings,
} from "../../src/links/residentsettings.ts";
import { createVirtualClock } from "../machines/fakes/clock.ts";

const valid = `
host: { name: "h1", zone: "z1" }
callers: { listen: "127.0.0.1:1" }
health: { listen: "127.0.0.1:2" }
links: { listen: "127.0.0.1:3" }
store: { address: "127.0.0.1:4" }
stopping: { grace: "2.5s" }
`;

const fileWith = (text: string): string => {
    const file = join(mkdtempSync(join(tmpdir(), "carobpier-")), "settings.yaml");
    writeFileSync(file, text);
    return file;
};

test("durations have units, missing settings have their defaults, and unknown names are ignored", t => {
    const { settings } = readResidentSettings(fileWith(`${valid}later: { field: 1 }\n`));
    t.is(settings.stopping.grace, 2_500);
    t.is(settings.ownership.maxHold, 10_000);
});

const nested = [
    { title: "lists", text: "[".repeat(2_000) },
    { title: "objects", text: "{a: ".repeat(2_000) },
    { title: "entries", text: "- ".repeat(2_000) },
    { title: "keys", text: "? ".repeat(2_000) },
    { title: "names", text: [...new Array(700).keys()].map(depth => `${" ".repeat(depth)}a:\n`).join("") },
];

for (const { title, text } of nested) {
    test(`a file of deeply nested ${title} is a finding, and does not end the process`, t => {
        for (let read = 0; read < 3; read += 1) {
            t.throws(() => readResidentSettings(fileWith(text)), { message: /nested collections/ });
        }
    });
}

const statedLinks: Array<[string, number | undefined]> = [["750.0", 750], ["0.5", 0.5], ["0", undefined], [
    "",
    undefined,
]];
for (const [text, expected] of statedLinks) {
    test(`a speed of the link that is filled in as "${text}" is ${expected}`, t => {
        const host = `host: { name: "h1", zone: "z1" }`;
        const stated = valid.replace(host, `host:\n  name: "h1"\n  zone: "z1"\n  linkMegabits: ${text}`);
        t.is(readResidentSettings(fileWith(stated)).settings.host.linkMegabits, expected);
    });
}

const statedLimits: Array<[string, number | undefined]> = [["3075", 3_075], ["0", undefined], ["", undefined]];

for (const [text, expected] of statedLimits) {
    test(`a limit of descriptors that is filled in as "${text}" is ${expected}`, t => {
        const { settings } = readResidentSettings(fileWith(`${valid}descriptors: { limit: ${text} }\n`));
        t.is(settings.descriptors.limit, expected);
    });
}

const invalidSettings: Array<{ title: string; text: string; finding: RegExp }> = [
    { title: "a missing address", text: valid.replace(/^store.*$/m, ""), finding: /store: expected object/ },
    {
        title: "a duration without a unit",
        text: valid.replace("2.5s", "2.5"),
        finding: /:7:20 stopping.grace: .*duration/,
    },
    {
        title: "a host name in place of an address",
        text: valid.replace("127.0.0.1:4", "store:4"),
        finding: /store.address/,
    },
    { title: "a port that is none", text: valid.replace("127.0.0.1:4", "127.0.0.1:70000"), finding: /store.address/ },
    { title: "a port of 0", text: valid.replace("127.0.0.1:4", "127.0.0.1:0"), finding: /store.address/ },
    { title: "an address that is none", text: valid.replace("127.0.0.1:4", "127.0.0.300:4"), finding: /store.address/ },
    { title: "invalid YAML", text: "host: [", finding: /valid YAML/ },
];

for (const { title, text, finding } of invalidSettings) {
    test(`${title} is reported`, t => {
        const error = t.throws(() => readResidentSettings(fileWith(text)));
        t.regex(error.message, finding);
    });
}

for (const code of ["EMFILE", "ENFILE"]) {
    test(`a reload that finds no free descriptor (${code}) is tried again until it succeeds`, async t => {
        const file = fileWith(valid);
        const clock = createVirtualClock();
        const lifetime = new AbortController();
        const lines: string[] = [];
        let failures = 0;
        const readFile = (path: string): string => {
            if (failures > 0) {
                failures -= 1;
                throw Object.assign(new Error(`${code}: too many open files`), { code });
            }
            return readFileSync(path, "utf8");
        };
        const recordEvent: Log["info"] = event => lines.push(event);
        const log: Log = { ...silentLog, info: recordEvent, warn: recordEvent };
        const inForce = readResidentSettings(file);
        const shortages: unknown[] = [];
        const onShortage = (error: unknown): void => void shortages.push(codeOf(error));
        const watch = watchSettings({ file, inForce, readFile, onShortage, clock, log, signal: lifetime.signal });
        writeFileSync(file, valid.replace("2.5s", "3s"));
        failures = 4;
        watch.check();
        watch.check();
        await clock.advance(1_000);
        t.deepEqual(lines, [
            "settings-check-requested",
            "settings-read-delayed",
            "settings-check-requested",
            "settings-read",
        ]);
        t.deepEqual(shortages, [code, code, code, code]);
        lifetime.abort();
    });
}

test("a file that changes without a signal is read, and an invalid one changes nothing", async t => {
    const file = fileWith(valid);
    const clock = createVirtualClock();
    const lifetime = new AbortController();
    const events: string[] = [];
    const recordEvent: Log["info"] = (event, fields) => events.push(`${event} ${fields?.changed ?? ""}`.trim());
    const log: Log = { ...silentLog, info: recordEvent, warn: recordEvent };
    watchSettings({ file, inForce: readResidentSettings(file), clock, log, signal: lifetime.signal });
    writeFileSync(file, "host: [");
    await clock.advance(11_000);
    writeFileSync(file, valid.replace("2.5s", "3s"));
    await clock.advance(11_000);
    t.deepEqual(events, ["settings-refused", "settings-read stopping"]);
    lifetime.abort();
});

test("a file that is missing at times or wrong again is told each time, and one that stays the same is told once", async t => {
    const file = fileWith(valid);
    const clock = createVirtualClock();
    const lifetime = new AbortController();
    const events: string[] = [];
    const recordEvent: Log["info"] = event => events.push(event);
    const log: Log = { ...silentLog, info: recordEvent, warn: recordEvent };
    let text: string | undefined = valid;
    const readFile = (): string => {
        if (text === undefined) {
            throw systemError("ENOENT");
        }
        return text;
    };
    watchSettings({ file, inForce: readResidentSettings(file), readFile, clock, log, signal: lifetime.signal });
    const wrong = "host: [";
    for (text of [valid, undefined, valid, undefined, undefined, wrong, wrong, undefined, wrong, valid, wrong]) {
        await clock.advance(5_000);
    }
    // The last text stands once it is read again.
    await clock.advance(100);
    t.deepEqual(events, new Array(6).fill("settings-refused"));
    lifetime.abort();
});

const systemError = (code: string): Error => Object.assign(new Error(code), { code });
const finding = (): Error => new InputError("host: expected object");

/** Each is readable after the time, unless a stop comes before. One finding is told in each 30 s, and a new one at once. */
const waits = [
    { title: "no descriptors", error: () => systemError("EMFILE"), validAfter: Infinity, told: 3 },
    { title: "findings", error: finding, validAfter: 1_000, told: 1 },
    { title: "findings", error: finding, validAfter: 75_000, told: 3 },
    { title: "findings", error: finding, validAfter: Infinity, told: 3 },
    {
        title: "two findings in turn",
        error: (read: number) => new InputError(read % 2 === 0 ? "empty" : "cut"),
        validAfter: 75_000,
        told: 6,
    },
    { title: "ever new findings", error: (read: number) => new InputError(`${read}`), validAfter: 75_000, told: 24 },
];

for (const { title, error, validAfter, told } of waits) {
    test(`settings that cannot be read for ${title} are waited for, valid after ${validAfter} ms`, async t => {
        const clock = createVirtualClock();
        const stop = new AbortController();
        const validAt = clock.now() + validAfter;
        const settings = readResidentSettings(fileWith(valid));
        const findings: string[] = [];
        let reads = 0;
        const read = (): SettingsText => {
            reads += 1;
            if (clock.now() < validAt) {
                throw error(reads);
            }
            return settings;
        };
        const onWait = (text: string): void => void findings.push(text);
        const outcome = awaitResidentSettings("settings.yaml", { clock, signal: stop.signal, onWait, read });
        await clock.advance(76_500);
        stop.abort();
        await clock.advance(1_000);
        t.is(await outcome, validAfter === Infinity ? undefined : settings);
        t.is(findings.length, told);
        t.true(reads < 90, `${reads} reads`);
    });
}

/** Age of the file at the first read, and from which read on the file does not change any more. */
const fresh: Array<{ title: string; age: (read: number) => number; reads: number; after: number }> = [
    { title: "long ago is taken at once", age: () => 10_000, reads: 1, after: 0 },
    { title: "ahead of the clock is taken at once", age: () => -10_000, reads: 1, after: 0 },
    { title: "just now is read once more", age: read => (read - 1) * 100, reads: 2, after: 100 },
    { title: "by parts is read until it is whole", age: read => read < 4 ? 50 : 100, reads: 4, after: 150 },
    { title: "all the time is taken after a second", age: () => 0, reads: 11, after: 1_000 },
];

for (const { title, age, reads, after } of fresh) {
    test(`a settings file written ${title}`, async t => {
        const clock = createVirtualClock();
        const startedAt = clock.now();
        let count = 0;
        const read = (): SettingsText => {
            count += 1;
            return { ...readResidentSettings(fileWith(valid)), text: `${count}` };
        };
        const { signal } = new AbortController();
        const outcome = awaitResidentSettings("settings.yaml", { clock, signal, read, ageOf: () => age(count) })
            .then(found => ({ text: found?.text, after: clock.now() - startedAt }));
        await clock.advance(2_000);
        t.deepEqual(await outcome, { text: `${reads}`, after });
    });
}

const whole = `${valid}descriptors:\n    limit: 4100\n`;
const cut = whole.slice(0, -3);
const other = whole.replace("2.5s", "3s");
/** Changes of the file by the time after the start, and what is told of them. */
const changes: Array<
    { title: string; at: Array<[milliseconds: number, text: string]>; told: Array<[limit: number, wasCut: boolean]> }
> = [
    { title: "the rest of a cut file is told as such", at: [[700, whole]], told: [[4_100, true]] },
    {
        title: "the rest that comes in parts is told once it is whole",
        at: [[700, whole.slice(0, -2)], [750, whole]],
        told: [[4_100, true]],
    },
    { title: "a line that is added is a change", at: [[700, `${cut}\nlogs: { level: warn }\n`]], told: [[41, false]] },
    { title: "another file is a change", at: [[700, other]], told: [[4_100, false]] },
    { title: "a longer file much later is a change", at: [[60_000, whole]], told: [[4_100, false]] },
    { title: "a file that is taken back at once is no change", at: [[700, other], [750, cut]], told: [] },
];

for (const { title, at, told } of changes) {
    test(`a start that read a valid part of its settings: ${title}`, async t => {
        const clock = createVirtualClock();
        const lifetime = new AbortController();
        const startedAt = clock.now();
        const readFile = (): string => at.findLast(([from]) => clock.now() - startedAt >= from)?.[1] ?? cut;
        const inForce = readResidentSettings("settings.yaml", readFile);
        t.is(inForce.settings.descriptors.limit, 41);
        const found: Array<[limit: number | undefined, wasCut: boolean]> = [];
        const onChange = ({ descriptors }: ResidentSettings, wasCut: boolean): boolean =>
            found.push([descriptors.limit, wasCut]) > 0;
        const { signal } = lifetime;
        watchSettings({ file: "settings.yaml", inForce, readFile, onChange, clock, log: silentLog, signal });
        await clock.advance(80_000);
        lifetime.abort();
        t.deepEqual(found, told);
    });
}

const framed = `---\n${whole}...\n`;

test("of a settings file between the markers of a document, no part is valid", t => {
    const read = (text: string) => readResidentSettings("settings.yaml", () => text).settings.descriptors.limit;
    t.is(read(framed), 4_100);
    const endOfMarker = framed.length - 1;
    for (let length = 0; length < endOfMarker; length += 1) {
        t.throws(() => read(framed.slice(0, length)), { instanceOf: InputError }, `${length} characters`);
    }
    t.is(read(framed.slice(0, endOfMarker)), 4_100);
    t.throws(() => read(`${framed}logs: {}\n`), { instanceOf: InputError });
});

const optionalSections = [
    { title: "absent", text: "", evacuations: undefined, coldTargets: undefined },
    { title: "empty", text: "evacuations:\ncoldTargets:\n", evacuations: undefined, coldTargets: undefined },
    {
        title: "set",
        text: "evacuations:\n  within: 5000ms\ncoldTargets:\n  factor: 1.5\n  slack: 8\n",
        evacuations: { within: 5_000 },
        coldTargets: { factor: 1.5, slack: 8 },
    },
];

for (const { title, text, evacuations, coldTargets } of optionalSections) {
    test(`the sections for evacuations and cold targets are read where they are ${title}`, t => {
        const { settings } = readResidentSettings("settings.yaml", () => `---\n${valid}${text}...\n`);
        t.deepEqual([settings.evacuations, settings.coldTargets], [evacuations, coldTargets]);
    });
}

test("the template of the deployment stands between the markers of a document", t => {
    const template = readFileSync("deploy/settings.yaml", "utf8");
    t.regex(template, /^---\n[^]*\n\.\.\.\n$/);
});

test("a settings file that is a folder or a pipe without a writer is a finding, and does not keep the process", t => {
    const folder = mkdtempSync(join(tmpdir(), "carobpier-"));
    const pipe = join(folder, "pipe");
    execFileSync("mkfifo", [pipe]);
    for (const file of [folder, pipe]) {
        t.throws(() => readResidentSettings(file), { message: /no regular file/ });
    }
});
