/**
 * The watch over a caller that takes no bytes. While something waits to be written to it, what the process and the system
 * hold of that is looked at several times within the idle time; a caller that took nothing from the first look to the last
 * has stalled.
 */
import type { Socket } from "node:net";
import type { Clock } from "../contracts/clock.ts";
import { type SendQueues, unwrittenBytes } from "./sendqueues.ts";

export type StallWatch = {
    /** Looks at the caller until nothing waits to be written to it, or it has stalled. */
    start: () => void;
    stop: () => void;
};

export type StallWatchOptions = {
    socket: Socket;
    clock: Clock;
    /** Time after which a caller that takes no bytes has stalled; 0 for none. */
    idleMilliseconds: () => number;
    sendQueues: Pick<SendQueues, "unacknowledged">;
    onStalled: () => void;
};

/** Looks at a caller within the idle time. It is given up when it took nothing from one to the next, all of them. */
const looksPerIdleTime = 4;
/** Factor of the idle time where the system does not tell what a slow reader takes. */
const unknownFactor = 4;

/** Creates the watch over one caller, which is not started. */
export const createStallWatch = (
    { socket, clock, idleMilliseconds, sendQueues, onStalled }: StallWatchOptions,
): StallWatch => {
    let cancelLook: (() => void) | undefined;

    const look = async (lastSeen: string, unchanged: number): Promise<void> => {
        const unacknowledged = await sendQueues.unacknowledged(socket);
        const isWaiting = !socket.destroyed && socket.writableLength > 0;
        if (!isWaiting) {
            cancelLook = undefined;
            return;
        }
        const seen = [socket.bytesWritten, socket.writableLength, unwrittenBytes(socket), unacknowledged].join();
        const count = seen === lastSeen ? unchanged + 1 : 0;
        if (count === looksPerIdleTime * (unacknowledged === undefined ? unknownFactor : 1)) {
            onStalled();
            return;
        }
        lookLater(seen, count);
    };
    const lookLater = (lastSeen: string, unchanged: number): void => {
        cancelLook = clock.after(idleMilliseconds() / looksPerIdleTime, () => void look(lastSeen, unchanged));
    };

    return {
        start: () => {
            if (cancelLook === undefined && socket.writableLength > 0 && idleMilliseconds() > 0) {
                lookLater("", 0);
            }
        },
        stop: () => cancelLook?.(),
    };
};
