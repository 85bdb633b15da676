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

const writeToStandardError = (code: number, cause: string): void => {
    try {
        writeSync(standardError, `level=error event=program-ended code=${code} cause=${JSON.stringify(cause)}\n`);
    }
    catch {
        // Nobody reads standard error.
    }
};

/** Starts to wait for the end of the process. Called once, as early as possible. */
export const watchEnd = (): Ends => {
    let cause = "unknown";
    let write = writeToStandardError;
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
