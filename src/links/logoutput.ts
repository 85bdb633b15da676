/**
 * Standard output for logs: written in the background, bounded when its reader is slow. Lines that are left out are
 * counted, and the count is written once there is room.
 */
import { pino } from "pino";
import type { Clock } from "../contracts/clock.ts";
import { createLogRateLimit } from "../decisions/lograte.ts";

export type LogOutput = { write: (line: string) => void; flush: () => void };

/** Lines are written together once they are this long, or after the time below. */
const batchBytes = 4_096;
const flushMilliseconds = 500;
/** Text that waits for a slow reader; more is left out. */
const maxWaitingBytes = 1_048_576;

/** A host in an overload refuses some hundred requests a second; each line costs about 20 microseconds. */
const linesPerSecond = 400;

/** Opens standard output. */
export const openLogOutput = (clock: Clock): LogOutput => {
    const destination = pino.destination({
        fd: 1,
        sync: false,
        minLength: batchBytes,
        maxLength: maxWaitingBytes,
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
