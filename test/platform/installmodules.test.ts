/**
 * The installation of packages before a build. Guards against builds that fail since one attempt failed or hangs, and
 * against the loss of packages that would have done.
 */
import test from "ava";
import { execFile, spawnSync } from "node:child_process";
import {
    existsSync,
    mkdirSync,
    mkdtempSync,
    readdirSync,
    readFileSync,
    renameSync,
    symlinkSync,
    utimesSync,
    writeFileSync,
} from "node:fs";
import { hostname, tmpdir } from "node:os";
import { delimiter, join, resolve } from "node:path";
import { promisify } from "node:util";

const installNew = "mkdir node_modules && echo new > node_modules/kind && echo {} > node_modules/.package-lock.json";
/** As npm does, each of these removes what was there first. */
const attempts = {
    works: installNew,
    fails: "mkdir node_modules && echo part > node_modules/kind; exit 1",
    tellsNothing: "mkdir node_modules && echo part > node_modules/kind",
    hangs: "exec sleep 30",
} as const;
type Attempt = keyof typeof attempts;

/** Where packages are before the installation, by the text in their `kind`; complete ones have npm's last file. */
type Before = { packages?: { kind: string; isComplete: boolean }; isLink?: true; kept?: string };

const createFolder = ({ packages, isLink, kept }: Before, [first, second]: [Attempt, Attempt]): string => {
    const root = mkdtempSync(join(tmpdir(), "carobpier-install-"));
    const write = (path: string, content: string): void => {
        mkdirSync(join(root, path, ".."), { recursive: true });
        writeFileSync(join(root, path), content, { mode: 0o755 });
    };
    if (packages !== undefined) {
        write("node_modules/kind", packages.kind);
    }
    if (packages?.isComplete === true) {
        write("node_modules/.package-lock.json", "{}");
    }
    if (isLink) {
        mkdirSync(join(root, "shared"));
        renameSync(join(root, "node_modules"), join(root, "shared/node_modules"));
        symlinkSync("shared/node_modules", join(root, "node_modules"));
    }
    if (kept !== undefined) {
        write("target/formermodules/kind", kept);
        write("target/formermodules/.package-lock.json", "{}");
    }
    write(
        "bin/npm",
        [
            "#!/bin/sh",
            "echo \"$@\" >> calls",
            "rm -rf node_modules",
            `[ "$(wc -l < calls)" -gt 1 ] && { ${attempts[second]}; exit; }`,
            attempts[first],
        ].join("\n"),
    );
    return root;
};

const complete = { packages: { kind: "former", isComplete: true } };
const cases: Array<{ title: string; before: Before; npm: [Attempt, Attempt]; kind: string }> = [
    { title: "are replaced when npm works", before: complete, npm: ["works", "fails"], kind: "new" },
    { title: "are replaced when npm works at the second try", before: complete, npm: ["fails", "works"], kind: "new" },
    { title: "are replaced when npm hangs once", before: complete, npm: ["hangs", "works"], kind: "new" },
    { title: "are put back when npm fails twice", before: complete, npm: ["fails", "fails"], kind: "former" },
    { title: "are put back when npm hangs twice", before: complete, npm: ["hangs", "hangs"], kind: "former" },
    {
        title: "that are a relative link are put back when npm fails twice",
        before: { ...complete, isLink: true },
        npm: ["fails", "fails"],
        kind: "former",
    },
    {
        title: "are put back when npm ends well without them",
        before: complete,
        npm: ["tellsNothing", "tellsNothing"],
        kind: "former",
    },
    {
        title: "that an interrupted installation left aside are put back when npm fails",
        before: { packages: { kind: "part", isComplete: false }, kept: "former" },
        npm: ["fails", "fails"],
        kind: "former",
    },
    {
        title: "that an interrupted installation left aside give way to complete ones",
        before: { ...complete, kept: "older" },
        npm: ["fails", "fails"],
        kind: "former",
    },
    { title: "are installed where there were none", before: {}, npm: ["works", "fails"], kind: "new" },
];

for (const { title, before, npm, kind } of cases) {
    test(`packages ${title}`, t => {
        const root = createFolder(before, npm);
        const { status, stderr } = spawnSync(process.execPath, [resolve("scripts/installmodules.cjs"), "1500"], {
            cwd: root,
            encoding: "utf8",
            env: { PATH: [join(root, "bin"), process.env["PATH"]].join(delimiter) },
        });
        t.is(readFileSync(join(root, "node_modules/kind"), "utf8").trim(), kind, stderr);
        t.is(status, kind === "new" ? 0 : 1);
        t.is(/packages that were there before are used/.test(stderr), kind !== "new");
        t.false(existsSync(join(root, "target/formermodules")));
        t.regex(readFileSync(join(root, "calls"), "utf8"), /^ci .*--ignore-scripts/);
    });
}

const slowly = `echo x >> calls; rm -rf node_modules; sleep 0.5; ${installNew}`;

const createSlowFolder = (): string => {
    const root = createFolder(complete, ["works", "works"]);
    writeFileSync(join(root, "bin/npm"), `#!/bin/sh\n${slowly}\n`);
    writeFileSync(join(root, "package-lock.json"), "{ \"packages\": {} }");
    return root;
};

const runBeside = (root: string) =>
    promisify(execFile)(process.execPath, [resolve("scripts/installmodules.cjs"), "10000"], {
        cwd: root,
        env: { PATH: [join(root, "bin"), process.env["PATH"]].join(delimiter) },
    });

const callsIn = (root: string): number => readFileSync(join(root, "calls"), "utf8").trim().split("\n").length;

test("installations side by side in one folder follow one another, and use what the first one installed", async t => {
    const root = createSlowFolder();
    await t.notThrowsAsync(Promise.all(Array.from({ length: 4 }, () => runBeside(root))));
    t.is(readFileSync(join(root, "node_modules/kind"), "utf8").trim(), "new");
    t.is(callsIn(root), 1);
    t.deepEqual(readdirSync(join(root, "target")), []);
});

const endedProcess = (): string => `${spawnSync(process.execPath, ["-e", ""]).pid} ${hostname()}`;

const leftLocks: Array<{ title: string; holder: string | undefined }> = [
    { title: "by a process that ended", holder: endedProcess() },
    { title: "on another machine long ago", holder: "1 another-machine" },
    { title: "before its holder was named", holder: undefined },
];

for (const { title, holder } of leftLocks) {
    test(`a lock that was left ${title} keeps no installation waiting`, async t => {
        const root = createSlowFolder();
        const lock = join(root, "target/install.lock");
        mkdirSync(lock, { recursive: true });
        if (holder !== undefined) {
            writeFileSync(join(lock, "holder"), holder);
        }
        const anHourAgo = new Date(Date.now() - 3_600_000);
        utimesSync(lock, anHourAgo, anHourAgo);
        await runBeside(root);
        t.deepEqual(readdirSync(join(root, "target")), []);
    });
}

test("a build uses no package that it would have to fetch by itself, and installs by the script", t => {
    const [build] = readFileSync("deploy/system.toml", "utf8").match(/^build = .*$/m) ?? [""];
    t.regex(build, /checkmodules\.cjs \|\| node scripts\/installmodules\.cjs;/);
    t.notRegex(build, /npx|npm/);
});
