/**
 * Tells whether the installed packages can build the program: they are those of the lock file, whole, and of this kind
 * of machine. Ends with 1 and the first finding otherwise, so that the caller installs them. Needs no package itself.
 */
"use strict";
const { readFileSync } = require("node:fs");
const { createRequire } = require("node:module");
const { join } = require("node:path");

const root = process.cwd();
const readJson = file => JSON.parse(readFileSync(join(root, file), "utf8"));

/** Whether a list such as `["linux"]` or `["!win32"]` of a package admits the value. */
const admits = (list, value) =>
    list === undefined ||
    (!list.includes(`!${value}`) && (list.includes(value) || list.every(item => item.startsWith("!"))));

/** Only read where a package asks for it, since the report takes some milliseconds. */
const libraryOfSystem = () => process.report.getReport().header.glibcVersionRuntime === undefined ? "musl" : "glibc";

const isOfThisMachine = ({ os, cpu, libc }) =>
    admits(os, process.platform) && admits(cpu, process.arch) &&
    (libc === undefined || admits(libc, libraryOfSystem()));

/** An optional package may fail to install on a machine that it is not made for, or where it must be compiled. */
const isNeeded = entry =>
    entry.optional === true
        ? (entry.os !== undefined || entry.cpu !== undefined) && isOfThisMachine(entry)
        : true;

const versionOf = path => {
    try {
        return readJson(join(path, "package.json")).version;
    }
    catch {
        return undefined;
    }
};

const findPackage = () => {
    const locked = Object.entries(readJson("package-lock.json").packages).filter(([path]) => path !== "");
    // npm writes this file last, so that an installation that was cut off has none.
    const installed = readJson("node_modules/.package-lock.json").packages;
    const needed = locked.filter(([, entry]) => isNeeded(entry));
    const missing = needed.find(([path, { version, integrity }]) =>
        installed[path]?.version !== version || installed[path].integrity !== integrity || versionOf(path) !== version
    );
    if (missing !== undefined) {
        return `${missing[0]} is missing or of another version`;
    }
    // A tool may be there and not run, as one of another machine under this one's name.
    const tools = needed.map(([path]) => path).filter(path => path.endsWith("node_modules/esbuild"));
    tools.forEach(path => createRequire(join(root, path, "package.json"))(join(root, path)).transformSync(""));
    return undefined;
};

const findAny = () => {
    try {
        return findPackage();
    }
    catch (error) {
        return error instanceof Error ? error.message.split("\n")[0] : String(error);
    }
};

const finding = findAny();
if (finding !== undefined) {
    process.stderr.write(`The packages are installed again: ${finding}.\n`);
    process.exitCode = 1;
}
