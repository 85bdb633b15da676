/**
 * Standard output for logs: written in the background, bounded when its reader is slow. Lines that are left out are
 * counted, and the count is written once there is room.
 */
import { pino } from "pino";

export type LogOutput = { write: (line: string) => void; flush: () => void };

/** Lines are written together once they are this long, or after the time below. */
const batchBytes = 4_096;
const flushMilliseconds = 500;
/** Text that waits for a slow reader; more is left out. */
const maxWaitingBytes = 1_048_576;

/** Opens standard output. */
export const openLogOutput = (): LogOutput => {
    const destination = pino.destination({
        fd: 1,
        sync: false,
        minLength: batchBytes,
        maxLength: maxWaitingBytes,
        periodicFlush: flushMilliseconds,
    });
    let leftOut = 0;
    destination.on("drop", () => {
        leftOut += 1;
    });
    destination.on("error", () => {
        leftOut += 1;
    });
    return {
        write: line => {
            if (leftOut > 0) {
                const count = leftOut;
                leftOut = 0;
                destination.write(`level=warn event=log-lines-left-out count=${count}\n`);
            }
            destination.write(line);
        },
        flush: () => destination.flushSync(),
    };
};
