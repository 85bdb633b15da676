/**
 * Starts the bundled program with V8's compiled code, which lies beside it. The build puts the names and digests of both
 * in the place of `files`. With `--write-compiled` it writes the compiled code instead.
 *
 * V8 itself compares no more than the length of the source with that of which compiled code was made, so that code of
 * another program, or with other bytes, would run or crash the process. Compiled code that is not that of the build, or of
 * another kind of machine, is left out. A program that is missing or not whole is waited for, since a process that starts again finds the same.
 */
/* global files */
"use strict";

let isWaiting = false;
// A signal that arrives while the program loads must not end the process. It is delivered once the event loop runs, and
// then the program has set its own listeners.
const stopSignals = ["SIGTERM", "SIGINT", "SIGQUIT", "SIGPWR"];
const otherSignals = [
    "SIGHUP",
    "SIGUSR1",
    "SIGUSR2",
    "SIGALRM",
    "SIGVTALRM",
    "SIGPROF",
    "SIGIO",
    "SIGSTKFLT",
    "SIGXCPU",
];
for (const signal of otherSignals) {
    process.on(signal, () => undefined);
}
for (const signal of stopSignals) {
    process.on(signal, () => {
        if (isWaiting) {
            process.exit(0);
        }
    });
}

const { hash } = require("node:crypto");
const { readFileSync, writeFileSync, writeSync } = require("node:fs");
const { join } = require("node:path");
const { Script } = require("node:vm");

const retryMilliseconds = 200;
const noteMilliseconds = 30_000;
const standardError = 2;

/** The content of a file of the build, or `undefined` when it is not readable or not as the build wrote it. */
const readBuilt = ({ name, digest }) => {
    try {
        const content = readFileSync(join(__dirname, name));
        return hash("sha256", content) === digest ? content : undefined;
    }
    catch {
        return undefined;
    }
};

const { machine } = files;
const isMachineOfBuild = machine.platform === process.platform && machine.arch === process.arch &&
    machine.v8 === process.versions.v8;
const isWriting = process.argv.includes("--write-compiled");

const run = bundle => {
    const file = join(__dirname, files.program.name);
    const source = `(function (exports, require, module, __filename, __dirname) {${bundle.toString("utf8")}\n})`;
    const cachedData = isWriting || !isMachineOfBuild ? undefined : readBuilt(files.compiled);
    const script = new Script(source, { filename: file, cachedData });
    const program = { exports: {} };
    script.runInThisContext()(program.exports, require, program, file, __dirname);
    if (isWriting) {
        writeFileSync(join(__dirname, files.compiled.name), script.createCachedData());
    }
    else {
        program.exports.main(script.cachedDataRejected === false);
    }
};

const readLoader = () => {
    try {
        return readFileSync(__filename, "utf8");
    }
    catch {
        return undefined;
    }
};

const note = () => {
    try {
        writeSync(standardError, `level=warn event=program-wait file=${files.program.name}\n`);
    }
    catch {
        // Nobody reads standard error.
    }
};

/** Waits until the program is whole, or until another build has put its loader in the place of this one. */
const waitForProgram = () => {
    isWaiting = true;
    const loader = readLoader();
    let notedAt = -Infinity;
    const timer = setInterval(() => {
        if (performance.now() - notedAt >= noteMilliseconds) {
            notedAt = performance.now();
            note();
        }
        const bundle = readBuilt(files.program);
        const newLoader = readLoader();
        const isReplaced = newLoader !== undefined && newLoader !== "" && newLoader !== loader;
        if (bundle === undefined && !isReplaced) {
            return;
        }
        clearInterval(timer);
        isWaiting = false;
        if (bundle !== undefined) {
            run(bundle);
            return;
        }
        delete require.cache[__filename];
        require(__filename);
    }, retryMilliseconds);
};

const whole = readBuilt(files.program);
if (whole !== undefined) {
    run(whole);
}
else {
    waitForProgram();
}
