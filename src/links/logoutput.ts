/**
 * Standard output for logs, written asynchronously and with a limit on the text that waits for a slow reader. Lines
 * that are left out are counted, and the count is written as soon as a line can be written again. A reader that has
 * stopped or gone costs lines, and never keeps the process from its work or its end.
 */
import { write as writeFile, writeSync } from "node:fs";
import type { Clock } from "../contracts/clock.ts";
import { createLogRateLimit } from "../decisions/lograte.ts";
import { codeOf } from "../decisions/startwait.ts";

export type LogOutput = {
    write: (line: string) => void;
    /** Writes what waits, for half a second at most. Called at the end of the process. */
    flush: () => void;
};

/** Lines are written together once they reach this length, or after `flushMilliseconds`. */
const minBatchLength = 4_096;
const flushMilliseconds = 500;
/** Limit on the text that waits for a slow reader; further lines are left out. */
const maxWaitingLength = 1_048_576;
/** Pause before a write to a reader that takes nothing is tried again. */
const retryMilliseconds = 20;
const lastFlushMilliseconds = 500;

/** An overloaded host refuses some hundred requests a second, and each line costs about 20 microseconds. */
const linesPerSecond = 400;

const standardOutput = 1;

/** Lets writes to a full pipe fail at once. Otherwise they hold a thread, without which no process ends. */
const makeStandardOutputNonBlocking = (): void => void process.stdout;

const sleepSync = (milliseconds: number): unknown =>
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);

const isFull = (error: unknown): boolean => codeOf(error) === "EAGAIN";

/** Opens standard output. The clock measures the rate of lines. */
export const openLogOutput = (clock: Clock): LogOutput => {
    makeStandardOutputNonBlocking();
    const limit = createLogRateLimit(linesPerSecond);
    let waiting = "";
    /** Bytes that are being written; empty while there are none. */
    let batch = Buffer.alloc(0);
    let isWriting = false;
    let isScheduled = false;

    const takeBatch = (): void => {
        if (batch.length === 0) {
            batch = Buffer.from(waiting);
            waiting = "";
        }
    };

    const writeBatch = (): void => {
        isScheduled = false;
        takeBatch();
        if (isWriting || batch.length === 0) {
            return;
        }
        isWriting = true;
        writeFile(standardOutput, batch, (error, written) => {
            isWriting = false;
            if (isFull(error)) {
                setTimeout(writeBatch, retryMilliseconds).unref();
                return;
            }
            if (error instanceof Error) {
                limit.recordDropped();
            }
            batch = error instanceof Error ? Buffer.alloc(0) : batch.subarray(written);
            if (batch.length > 0 || waiting.length >= minBatchLength) {
                writeBatch();
            }
        });
    };
    setInterval(writeBatch, flushMilliseconds).unref();

    const enqueue = (line: string): void => {
        if (waiting.length + line.length > maxWaitingLength) {
            limit.recordDropped();
            return;
        }
        waiting += line;
        if (waiting.length >= minBatchLength && !isWriting && !isScheduled) {
            // Not at once, so that lines of the turn in which the process ends are still here for the last flush.
            isScheduled = true;
            setImmediate(writeBatch);
        }
    };

    const writeRest = (): void => {
        const endAt = clock.now() + lastFlushMilliseconds;
        // A batch that a thread is writing is left to it, since its bytes would come twice.
        let rest = Buffer.concat([isWriting ? Buffer.alloc(0) : batch, Buffer.from(waiting)]);
        [batch, waiting] = [Buffer.alloc(0), ""];
        while (rest.length > 0) {
            try {
                rest = rest.subarray(writeSync(standardOutput, rest));
            }
            catch (error) {
                if (!isFull(error) || clock.now() >= endAt) {
                    return;
                }
                sleepSync(retryMilliseconds);
            }
        }
    };

    return {
        write: line => {
            const { write, leftOut } = limit.take(clock.now());
            if (!write) {
                return;
            }
            if (leftOut > 0) {
                enqueue(`level=warn event=log-lines-left-out count=${leftOut}\n`);
            }
            enqueue(line);
        },
        flush: writeRest,
    };
};
