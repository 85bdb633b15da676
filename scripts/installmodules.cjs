/**
 * Installs the packages of the lock file, without their install scripts: the build needs none of these, and some compile
 * with what they fetch. The packages that were there are put back when that fails, since they may do all the same. An
 * argument gives the time that one of the tries may take, in milliseconds. Needs no package itself.
 */
"use strict";
const { spawnSync } = require("node:child_process");
const { existsSync, lstatSync, mkdirSync, renameSync, rmSync } = require("node:fs");
const { join } = require("node:path");

const tries = 2;
const defaultTryMilliseconds = 300_000;

const folder = "node_modules";
const former = join("target", "formermodules");
/** npm writes this file last. */
const lastFile = join(folder, ".package-lock.json");

const remove = path => rmSync(path, { recursive: true, force: true });

/** Also true of a link whose target is not there, as a relative one that was moved. */
const isThere = path => lstatSync(path, { throwIfNoEntry: false }) !== undefined;

const tell = text => process.stderr.write(`${text}\n`);

const restore = () => {
    if (isThere(former)) {
        remove(folder);
        renameSync(former, folder);
    }
};

const keepFormer = () => {
    try {
        mkdirSync("target", { recursive: true });
        if (!existsSync(lastFile)) {
            restore();
        }
        remove(former);
        if (isThere(folder)) {
            renameSync(folder, former);
        }
    }
    catch (error) {
        tell(`The packages that are there can not be kept: ${error.message}.`);
    }
};

const install = () => {
    const { status, signal, error } = spawnSync("npm", ["ci", "--ignore-scripts", "--loglevel=error"], {
        stdio: ["ignore", "inherit", "inherit"],
        timeout: Number(process.argv[2] ?? defaultTryMilliseconds),
        killSignal: "SIGKILL",
    });
    const isInstalled = status === 0 && existsSync(lastFile);
    if (!isInstalled) {
        tell(`npm ci failed: ${error?.message ?? `status ${status ?? signal}`}.`);
    }
    return isInstalled;
};

keepFormer();
if (Array.from({ length: tries }).some(install)) {
    remove(former);
}
else {
    process.exitCode = 1;
    if (isThere(former)) {
        restore();
        tell("The packages that were there before are used.");
    }
}
