/**
 * The check of installed packages before a build. Guards against builds that fail beside a `node_modules` that was carried
 * over from another kind of machine, or left by an installation that was cut off.
 */
import test from "ava";
import { spawnSync } from "node:child_process";
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";

const other = process.arch === "x64" ? "arm64" : "x64";
const tool = "node_modules/esbuild";
const locked: Record<string, Record<string, unknown>> = {
    "": {},
    "node_modules/plain": { version: "1.0.0", integrity: "sha512-a" },
    "node_modules/compiled": { version: "1.0.0", integrity: "sha512-b", optional: true },
    [tool]: { version: "2.0.0", integrity: "sha512-c" },
    ...Object.fromEntries([process.arch, other].map(cpu => [`node_modules/tool-${cpu}`, {
        version: "2.0.0",
        integrity: `sha512-${cpu}`,
        optional: true,
        os: [process.platform],
        cpu: [cpu],
    }])),
};

type Folder = { root: string; remove: (path: string) => void; write: (path: string, content: unknown) => void };

/** Creates a folder in which all packages for this machine are installed. */
const createFolder = (): Folder => {
    const root = mkdtempSync(join(tmpdir(), "carobpier-"));
    const write = (path: string, content: unknown): void => {
        mkdirSync(join(root, path, ".."), { recursive: true });
        writeFileSync(join(root, path), typeof content === "string" ? content : JSON.stringify(content));
    };
    const installed = Object.entries(locked).filter(([path]) => !/^$|compiled/.test(path) && !path.endsWith(other));
    write("package-lock.json", { packages: locked });
    write("node_modules/.package-lock.json", { packages: Object.fromEntries(installed) });
    installed.forEach(([path, { version }]) => write(join(path, "package.json"), { version, main: "main.js" }));
    write(`${tool}/main.js`, "exports.transformSync = () => ({});");
    return { root, write, remove: path => rmSync(join(root, path), { recursive: true }) };
};

const cases: Array<{ title: string; change: (folder: Folder) => void; accepts: boolean }> = [
    { title: "whole", change: () => undefined, accepts: true },
    { title: "missing", change: ({ remove }) => remove("node_modules"), accepts: false },
    { title: "cut off", change: ({ remove }) => remove("node_modules/.package-lock.json"), accepts: false },
    { title: "cut off while it was copied", change: ({ remove }) => remove("node_modules/plain"), accepts: false },
    {
        title: "of a list that was cut off",
        change: ({ write }) => write("node_modules/.package-lock.json", "{ \"packages\": {"),
        accepts: false,
    },
    {
        title: "of another kind of machine",
        change: ({ write, remove }) => {
            const own = `node_modules/tool-${process.arch}`;
            const foreign = `node_modules/tool-${other}`;
            const packages = Object.fromEntries(Object.entries(locked).filter(([path]) => path !== own));
            write("node_modules/.package-lock.json", { packages });
            remove(own);
            write(join(foreign, "package.json"), { version: "2.0.0" });
        },
        accepts: false,
    },
    {
        title: "of an older lock file",
        change: ({ write }) => write("node_modules/plain/package.json", { version: "0.9.0" }),
        accepts: false,
    },
    {
        title: "there with a tool that does not run",
        change: ({ write }) => write(`${tool}/main.js`, "exports.transformSync = () => { throw new Error('x'); };"),
        accepts: false,
    },
    {
        title: "there with a tool that is not whole",
        change: ({ write }) => write(`${tool}/main.js`, "exports.transfo"),
        accepts: false,
    },
];

for (const { title, change, accepts } of cases) {
    test(`packages that are ${title} are ${accepts ? "used" : "installed again"}`, t => {
        const folder = createFolder();
        change(folder);
        const { status, stderr } = spawnSync(process.execPath, [resolve("scripts/checkmodules.cjs")], {
            cwd: folder.root,
            encoding: "utf8",
        });
        t.is(status, accepts ? 0 : 1, stderr);
        t.is(stderr === "", accepts);
    });
}
