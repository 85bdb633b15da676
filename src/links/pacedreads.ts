/**
 * Reads from the socket of an HTTP server in slices. One read of 64 KB holds thousands of small requests, for each of which
 * Node's parser creates objects before anything can pause the socket. What was read stays in bytes until the owner of the
 * connection takes more requests.
 */
import type { Socket } from "node:net";

export type PacedReads = {
    /** Bytes that were read from the system and have not been parsed. */
    waitingBytes: () => number;
    /** Goes on when `mayRead` may return true again. */
    resume: () => void;
    /** Drops what has not been parsed and all that arrives from now on, one read after each pause. */
    discard: (pause: (goOn: () => void) => void) => void;
    /** Hands the socket over to another reader, with what has not been parsed. */
    release: () => void;
};

export type PacedReadsOptions = {
    /** Whether the next slice may be parsed. */
    mayRead: () => boolean;
    /** Number of bytes that may be parsed at a time. */
    sliceBytes: () => number;
    /** Whether the next slice waits its turn among those of all connections, in place of following at once; false by default. */
    isDeferred?: () => boolean;
    /** Called with the size of each slice before it is parsed. */
    onSlice?: (bytes: number) => void;
};

const nothing = Buffer.alloc(0);

/** Time of a turn of the event loop for the slices that wait in it; without a limit, turns of a second lost the store. */
const turnMilliseconds = 5;
const deferred: Array<() => void> = [];
let isRunScheduled = false;

const scheduleRun = (): void => {
    if (!isRunScheduled && deferred.length > 0) {
        isRunScheduled = true;
        setImmediate(runDeferred);
    }
};

const runDeferred = (): void => {
    const endAt = performance.now() + turnMilliseconds;
    do {
        deferred.shift()?.();
    }
    while (deferred.length > 0 && performance.now() < endAt);
    isRunScheduled = false;
    scheduleRun();
};

const defer = (callback: () => void): void => {
    deferred.push(callback);
    scheduleRun();
};

/** Begins to pace a socket that an HTTP server has accepted. */
export const paceReads = (
    socket: Socket,
    { mayRead, sliceBytes, isDeferred, onSlice }: PacedReadsOptions,
): PacedReads => {
    const push = socket.push.bind(socket);
    const read = socket._read.bind(socket);
    let waiting = nothing;
    /** The end of the stream, when it waits behind the bytes. */
    let waitingEnd: { chunk: unknown } | undefined;
    /** Whether the stream has asked for more than it got. */
    let isWanted = false;
    let isScheduled = false;
    let pauseDiscard: ((goOn: () => void) => void) | undefined;

    /** A stream that is paused would keep the slices and pass them on all at once. */
    const takesSlice = (): boolean => socket.readableFlowing !== false && socket.readableLength === 0 && mayRead();
    const pushSlice = (): boolean => {
        const bytes = Math.min(waiting.length, Math.max(1, sliceBytes()));
        const slice = waiting.subarray(0, bytes);
        waiting = waiting.subarray(bytes);
        isWanted = false;
        onSlice?.(bytes);
        return push(slice);
    };
    const pushEnd = (): void => {
        if (waitingEnd !== undefined) {
            const { chunk } = waitingEnd;
            waitingEnd = undefined;
            push(chunk);
            socket.read(0);
        }
    };
    const goOn = (): void => {
        if (socket.destroyed || pauseDiscard !== undefined) {
            return;
        }
        if (waiting.length > 0) {
            if (takesSlice()) {
                pushSlice();
            }
            // The stream asks for the next slice by `_read`.
            return;
        }
        pushEnd();
        if (isWanted && mayRead()) {
            isWanted = false;
            read(0);
        }
    };
    /** In a turn of its own, so that the slice before is parsed before `mayRead` is asked. */
    const goOnSoon = (): void => {
        if (!isScheduled) {
            isScheduled = true;
            const run = (): void => {
                isScheduled = false;
                goOn();
            };
            if (isDeferred?.() === true) {
                defer(run);
            }
            else {
                process.nextTick(run);
            }
        }
    };

    const readOn = (): void => {
        if (!socket.destroyed) {
            read(0);
        }
    };

    // Node's parser otherwise reads from the handle, past the stream.
    const ignore = (): void => undefined;
    socket.on("data", ignore);
    socket.push = (chunk: unknown): boolean => {
        if (!(chunk instanceof Buffer)) {
            if (waiting.length > 0 && pauseDiscard === undefined) {
                waitingEnd = { chunk };
                return false;
            }
            return push(chunk);
        }
        if (pauseDiscard !== undefined) {
            pauseDiscard(readOn);
            return false;
        }
        const isFirst = waiting.length === 0;
        waiting = isFirst ? chunk : Buffer.concat([waiting, chunk]);
        const takesMore = isFirst && takesSlice() && pushSlice();
        return takesMore && waiting.length === 0 && mayRead();
    };
    socket.on("resume", goOnSoon);
    socket._read = size => {
        if (pauseDiscard !== undefined) {
            return;
        }
        if (waiting.length > 0 || waitingEnd !== undefined) {
            isWanted = true;
            goOnSoon();
        }
        else if (mayRead()) {
            read(size);
        }
        else {
            isWanted = true;
        }
    };

    return {
        waitingBytes: () => waiting.length,
        resume: () => {
            if (isWanted || waiting.length > 0) {
                goOnSoon();
            }
        },
        discard: pause => {
            if (pauseDiscard === undefined) {
                pauseDiscard = pause;
                waiting = nothing;
                pushEnd();
                pause(readOn);
            }
        },
        release: () => {
            socket.off("data", ignore);
            socket.off("resume", goOnSoon);
            socket.push = push;
            socket._read = read;
            if (waiting.length > 0) {
                push(waiting);
                waiting = nothing;
            }
            pushEnd();
            if (isWanted) {
                read(0);
            }
        },
    };
};
