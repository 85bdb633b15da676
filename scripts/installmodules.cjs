/**
 * Installs the packages of the lock file, without their install scripts: the build needs none of these, and some compile
 * with what they fetch. The packages that were there are put back when that fails, since they may do all the same. An
 * argument gives the time that one of the tries may take, in milliseconds. Needs no package itself.
 *
 * Builds in the same folder install one after the other, and those that waited use what the first one installed.
 */
"use strict";
const { spawnSync } = require("node:child_process");
const { existsSync, lstatSync, mkdirSync, readFileSync, renameSync, rmSync, statSync, writeFileSync } = require("node:fs");
const { hostname } = require("node:os");
const { join } = require("node:path");

const tries = 2;
const defaultTryMilliseconds = 300_000;
const tryMilliseconds = Number(process.argv[2] ?? defaultTryMilliseconds);

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
        timeout: tryMilliseconds,
        killSignal: "SIGKILL",
    });
    const isInstalled = status === 0 && existsSync(lastFile);
    if (!isInstalled) {
        tell(`npm ci failed: ${error?.message ?? `status ${status ?? signal}`}.`);
    }
    return isInstalled;
};

const lock = join("target", "install.lock");
const holder = join(lock, "holder");
const lockPauseMilliseconds = 100;
/** The holder writes its name at once; a lock without one for longer is of a process that ended before. */
const maxUnnamedMilliseconds = 5_000;
/** Longer than an installation takes. Of a holder on another machine nothing else is known. */
const maxHeldMilliseconds = (tries + 1) * tryMilliseconds;

const pause = () => Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, lockPauseMilliseconds);

const isRunning = processId => {
    try {
        process.kill(processId, 0);
        return true;
    }
    catch (error) {
        return error.code === "EPERM";
    }
};

/** Whether the process that holds the lock is gone. */
const isLeft = () => {
    try {
        const age = Date.now() - statSync(lock).mtimeMs;
        if (!existsSync(holder)) {
            return age > maxUnnamedMilliseconds;
        }
        const [processId, machine] = readFileSync(holder, "utf8").split(" ");
        return age > maxHeldMilliseconds || (machine === hostname() && !isRunning(Number(processId)));
    }
    catch {
        // It was given back meanwhile.
        return false;
    }
};

/** Takes the lock, or gives up on it after a while. Returns whether another process had it before. */
const takeLock = () => {
    mkdirSync("target", { recursive: true });
    const endAt = performance.now() + tryMilliseconds;
    for (let waited = false;; waited = true) {
        try {
            mkdirSync(lock);
            process.once("exit", () => remove(lock));
            writeFileSync(holder, `${process.pid} ${hostname()}`);
            return waited;
        }
        catch (error) {
            if (error.code !== "EEXIST") {
                throw error;
            }
        }
        if (isLeft()) {
            remove(lock);
        }
        else if (performance.now() > endAt) {
            tell("The lock of another installation is held for long, this one goes on without it.");
            return waited;
        }
        pause();
    }
};

const areInstalled = () =>
    spawnSync(process.execPath, [join(__dirname, "checkmodules.cjs")], { stdio: "ignore" }).status === 0;

const tryLock = () => {
    try {
        return takeLock();
    }
    catch (error) {
        tell(`Builds beside this one can not be kept out: ${error.message}.`);
        return false;
    }
};

const waited = tryLock();
if (waited && areInstalled()) {
    process.exit();
}
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
