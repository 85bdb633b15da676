/**
 * Standard output for logs, written asynchronously and with a limit on the text that waits for a slow reader. Lines
 * that are left out are counted, and the count is written as soon as a line can be written again.
 */
import { pino } from "pino";
import type { Clock } from "../contracts/clock.ts";
import { createLogRateLimit } from "../decisions/lograte.ts";

export type LogOutput = { write: (line: string) => void; flush: () => void };

/** Lines are written together once they reach this length, or after `flushMilliseconds`. */
const minBatchBytes = 4_096;
const flushMilliseconds = 500;
/** Limit on the text that waits for a slow reader; further lines are left out. */
const maxBufferedBytes = 1_048_576;

/** An overloaded host refuses some hundred requests a second, and each line costs about 20 microseconds. */
const linesPerSecond = 400;

/** Opens standard output. The clock measures the rate of lines. */
export const openLogOutput = (clock: Clock): LogOutput => {
    const destination = pino.destination({
        fd: 1,
        sync: false,
        minLength: minBatchBytes,
        maxLength: maxBufferedBytes,
        periodicFlush: flushMilliseconds,
    });
    const limit = createLogRateLimit(linesPerSecond);
    destination.on("drop", limit.recordDropped);
    destination.on("error", limit.recordDropped);
    return {
        write: line => {
            const { write, leftOut } = limit.take(clock.now());
            if (!write) {
                return;
            }
            if (leftOut > 0) {
                destination.write(`level=warn event=log-lines-left-out count=${leftOut}\n`);
            }
            destination.write(line);
        },
        flush: () => destination.flushSync(),
    };
};
