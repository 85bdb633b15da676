/**
 * One line at the end of the process, whatever ends it, with the exit code and the cause. A process that ends by SIGKILL
 * or without memory writes none.
 */
import { writeSync } from "node:fs";
import type { Log } from "./logs.ts";

export type Ends = {
    /** Ends the process. The line gives the cause. */
    end: (code: number, cause: string) => never;
    /** Sets the log that gets the line, and what writes its lines out. Before, it goes to standard error. */
    logTo: (log: Log, flush: () => void) => void;
};

const standardError = 2;

/**
 * Writes a line to standard error, for what happens before the log is open. Never throws, and does not wait for a reader,
 * since the stream of Node ends the process when its reader has left.
 */
export const writeToStandardError = (line: string): void => {
    try {
        void process.stderr;
        writeSync(standardError, `${line}\n`);
    }
    catch {
        // Nobody reads standard error.
    }
};

const writeUnlogged = (code: number, cause: string): void =>
    writeToStandardError(`level=error event=program-ended code=${code} cause=${JSON.stringify(cause)}`);

/** Starts to wait for the end of the process. Called once, as early as possible. */
export const watchEnd = (): Ends => {
    let cause = "unknown";
    let write = writeUnlogged;
    process.once("exit", code => write(code, cause));
    process.prependOnceListener("uncaughtExceptionMonitor", error => {
        cause = error.message;
    });
    return {
        end: (code, newCause) => {
            cause = newCause;
            return process.exit(code);
        },
        logTo: (log, flush) => {
            write = (code, lastCause) => {
                log.info("program-ended", { code, cause: lastCause, afterMilliseconds: Math.round(performance.now()) });
                flush();
            };
        },
    };
};
