/**
 * The build of the program and its loader. Guards against processes that crash, end or run another program's code since a
 * file of the build is damaged, is of another build, or is replaced while they start.
 */
import test, { type ExecutionContext } from "ava";
import { execFile, spawnSync } from "node:child_process";
import { once } from "node:events";
import {
    copyFileSync,
    cpSync,
    mkdirSync,
    mkdtempSync,
    readdirSync,
    readFileSync,
    renameSync,
    rmSync,
    utimesSync,
    writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { basename, join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { promisify } from "node:util";
import { buildResidentProgram } from "../../scripts/residentbuild.ts";
import { startStoreStandIn } from "../../stand-ins/resident/store.ts";
import { buildProgram, type Program, startProgram, waitUntil } from "./program.ts";

test.before(buildProgram);

const createFolder = (): string => mkdtempSync(join(tmpdir(), "carobpier-build-"));

/** Copies what the loader of this tree starts, without files of former builds. */
const copyBuild = (): string => {
    const folder = createFolder();
    const loader = readFileSync("target/carobpier.cjs", "utf8");
    readdirSync("target")
        .filter(file => file === "carobpier.cjs" || loader.includes(file))
        .forEach(file => copyFileSync(join("target", file), join(folder, file)));
    return folder;
};

const pathOf = (folder: string, extension: string): string => {
    const file = readdirSync(folder).find(name => name.startsWith("program") && name.endsWith(extension));
    return join(folder, file ?? "");
};

const edit = (path: string, change: (content: Buffer) => Buffer): void =>
    writeFileSync(path, change(readFileSync(path)));

/** Overwrites every hundredth byte from the middle on, which keeps the length and the header. */
const damage = (content: Buffer): Buffer =>
    content.map((byte, index) => index > content.length / 2 && index % 100 === 0 ? byte ^ 0x55 : byte) as Buffer;

const cut = (content: Buffer): Buffer => content.subarray(0, content.length / 2);

/** Returns the exit code and signal with which the program ended, both undefined while it runs. */
const endOf = ({ child }: Program) => ({ code: child.exitCode ?? undefined, signal: child.signalCode ?? undefined });

const isOver = (program: Program): boolean => Object.values(endOf(program)).some(value => value !== undefined);

const start = async (t: ExecutionContext, folder: string): Promise<Program> => {
    const store = await startStoreStandIn();
    t.teardown(store.close);
    const program = await startProgram(store, { path: join(folder, "carobpier.cjs") });
    t.teardown(() => program.child.kill("SIGKILL"));
    return program;
};

const assertRuns = async (t: ExecutionContext, program: Program, startedCompiled: boolean): Promise<void> => {
    await waitUntil("the program runs or has ended", () => isOver(program) || /program-started/.test(program.log()));
    t.deepEqual(endOf(program), { code: undefined, signal: undefined });
    t.regex(program.log(), new RegExp(`event=program-started startedCompiled=${startedCompiled}`));
};

const damages: Array<{ title: string; change: (path: string) => void }> = [
    { title: "is missing", change: path => rmSync(path) },
    { title: "is empty", change: path => edit(path, () => Buffer.alloc(0)) },
    { title: "is cut", change: path => edit(path, cut) },
    { title: "has other bytes in it", change: path => edit(path, damage) },
    { title: "is cut within its header", change: path => edit(path, content => content.subarray(0, 10)) },
    { title: "is a folder", change: path => (rmSync(path), mkdirSync(path)) },
];

for (const { title, change } of damages) {
    test.serial(`compiled code that ${title} does not end the program`, async t => {
        const folder = copyBuild();
        change(pathOf(folder, ".compiled"));
        await assertRuns(t, await start(t, folder), false);
    });

    test.serial(`a program that ${title} is waited for`, async t => {
        const folder = copyBuild();
        const path = pathOf(folder, ".cjs");
        const content = readFileSync(path);
        change(path);
        const program = await start(t, folder);
        await sleep(700);
        t.false(isOver(program));
        t.is(program.errors().match(/event=program-wait/g)?.length, 1);
        rmSync(path, { recursive: true, force: true });
        writeFileSync(`${path}.new`, content);
        renameSync(`${path}.new`, path);
        await assertRuns(t, program, true);
    });
}

for (const signal of ["SIGTERM", "SIGINT", "SIGQUIT", "SIGPWR"] as const) {
    test.serial(`${signal} ends a process that waits for its program`, async t => {
        const folder = copyBuild();
        rmSync(pathOf(folder, ".cjs"));
        const program = await start(t, folder);
        await waitUntil("it waits", () => /event=program-wait/.test(program.errors()));
        for (const ignored of ["SIGHUP", "SIGALRM", "SIGIO", "SIGXCPU"] as const) {
            program.child.kill(ignored);
        }
        await sleep(100);
        t.false(isOver(program));
        program.child.kill(signal);
        await once(program.child, "exit");
        t.is(program.child.exitCode, 0);
    });
}

/** A program that prints its text, and whether it was started from compiled code. */
const buildSmall = async (folder: string, text: string): Promise<void> => {
    const entry = join(createFolder(), "main.ts");
    writeFileSync(entry, `export const main = (compiled: boolean) => console.log("${text}", compiled);\n`);
    await buildResidentProgram(entry, folder);
};

const flags = ["--max-old-space-size=128", "--max-semi-space-size=2"];

const runSmall = (folder: string, moreFlags: string[] = []): string =>
    spawnSync(process.execPath, [...flags, ...moreFlags, join(folder, "carobpier.cjs")], {
        encoding: "utf8",
        timeout: 5_000,
    }).stdout.trim();

/** As `runSmall`, while this process goes on. */
const runSmallBeside = async (folder: string): Promise<string> => {
    const { stdout } = await promisify(execFile)(process.execPath, [...flags, join(folder, "carobpier.cjs")]);
    return stdout.trim();
};

test.serial("flags other than those of the build do not end the program", async t => {
    const folder = createFolder();
    await buildSmall(folder, "a");
    t.is(runSmall(folder, ["--stack-size=900"]), "a false");
});

const otherMachines: Array<[title: string, key: string, value: string]> = [
    ["system", "platform", process.platform],
    ["processor", "arch", process.arch],
    ["version of V8", "v8", process.versions.v8],
];

for (const [title, key, value] of otherMachines) {
    test.serial(`compiled code of a machine with another ${title} is not run`, async t => {
        const folder = createFolder();
        await buildSmall(folder, "a");
        t.is(runSmall(folder), "a true");
        const named = new RegExp(`("?${key}"?: ?")${value}"`);
        edit(join(folder, "carobpier.cjs"), content => Buffer.from(String(content).replace(named, "$1other\"")));
        t.is(runSmall(folder), "a false");
    });
}

test.serial("compiled code of another build of the same length is not run", async t => {
    const [first, second] = [createFolder(), createFolder()];
    await buildSmall(first, "a");
    await buildSmall(second, "b");
    copyFileSync(pathOf(first, ".compiled"), pathOf(second, ".compiled"));
    t.is(runSmall(second), "b false");
});

test.serial("a process that read the loader of the former build runs that build", async t => {
    const folder = createFolder();
    await buildSmall(folder, "a");
    const former = readFileSync(join(folder, "carobpier.cjs"));
    await buildSmall(folder, "b");
    t.is(runSmall(folder), "b true");
    writeFileSync(join(folder, "carobpier.cjs"), former);
    t.is(runSmall(folder), "a true");
});

test.serial("a process that waits for the program of a build that was removed starts the next build", async t => {
    const folder = copyBuild();
    rmSync(pathOf(folder, ".cjs"));
    const program = await start(t, folder);
    await waitUntil("it waits", () => /event=program-wait/.test(program.errors()));
    const next = copyBuild();
    edit(join(next, "carobpier.cjs"), content => Buffer.concat([content, Buffer.from("\n")]));
    const renamed = join(folder, "program-next.cjs");
    cpSync(pathOf(next, ".cjs"), renamed);
    // Compiled code differs from one build to the next, and another test may have built meanwhile.
    cpSync(pathOf(next, ".compiled"), join(folder, basename(pathOf(next, ".compiled"))));
    const loader = readFileSync(join(next, "carobpier.cjs"), "utf8").replace(/program-\w+\.cjs/, "program-next.cjs");
    writeFileSync(join(folder, "new"), loader);
    renameSync(join(folder, "new"), join(folder, "carobpier.cjs"));
    await assertRuns(t, program, true);
});

test("a start loads neither Node's own fetch nor the parts of libraries that no host uses", t => {
    const loaded = spawnSync(
        process.execPath,
        ["-e", "require(process.argv[1]); console.log(process.moduleLoadList.join());", pathOf(copyBuild(), "cjs")],
        { encoding: "utf8" },
    );
    t.is(loaded.status, 0, loaded.stderr);
    t.true(loaded.stdout.includes("NativeModule http,"), loaded.stdout);
    t.false(loaded.stdout.includes("deps/undici"), loaded.stdout);
    const text = readFileSync(pathOf(copyBuild(), "cjs"), "utf8");
    for (const unused of ["MockAgent", "SnapshotAgent", "EventSource", "Pushgateway"]) {
        t.false(text.includes(unused), unused);
    }
});

test.serial("files of builds before the former one are removed, those of a build that goes on are not", async t => {
    const folder = createFolder();
    await buildSmall(folder, "a");
    const first = readdirSync(folder).filter(file => file !== "carobpier.cjs");
    writeFileSync(join(folder, "program-0123.cjs"), "of a build that goes on");
    await buildSmall(folder, "b");
    const second = readdirSync(folder).filter(file => !first.includes(file));
    const anHourAgo = new Date(Date.now() - 3_700_000);
    first.forEach(file => utimesSync(join(folder, file), anHourAgo, anHourAgo));
    await buildSmall(folder, "c");
    const left = readdirSync(folder);
    t.deepEqual(left.filter(file => first.includes(file)), []);
    t.deepEqual(second.filter(file => !left.includes(file)), []);
    t.is(runSmall(folder), "c true");
});

test.serial("builds side by side in one folder end well, and one of them is there", async t => {
    const folder = createFolder();
    const entry = join(createFolder(), "main.ts");
    const script = join("scripts", "residentbuild.ts");
    const code = `import(${JSON.stringify(join(process.cwd(), script))})
        .then(({ buildResidentProgram }) => buildResidentProgram(${JSON.stringify(entry)}, ${JSON.stringify(folder)}))`;
    writeFileSync(entry, "export const main = (compiled: boolean) => console.log(\"a\", compiled);\n");
    for (let round = 0; round < 3; round += 1) {
        const builds = Array.from(
            { length: 3 },
            () => promisify(execFile)(process.execPath, ["--import=tsx", "-e", code]),
        );
        await t.notThrowsAsync(Promise.all(builds));
        t.is(runSmall(folder), "a true");
    }
    t.deepEqual(readdirSync(folder).filter(file => file.startsWith("build-")), []);
});

test.serial("processes that start while builds follow one another run one of them", async t => {
    const folder = createFolder();
    await buildSmall(folder, "a");
    const build = async (): Promise<void> => {
        for (let number = 0; number < 8; number += 1) {
            await buildSmall(folder, "ab"[number % 2] ?? "");
        }
    };
    const found = new Set<string>();
    let isBuilding = true;
    const built = build().finally(() => {
        isBuilding = false;
    });
    while (isBuilding) {
        found.add(await runSmallBeside(folder));
    }
    await built;
    t.deepEqual([...found].filter(output => !["a true", "b true"].includes(output)), []);
});
