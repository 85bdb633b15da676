/**
 * Reads the body of a caller's request into memory, within limits on its size, on its time of arrival and on the memory
 * that the bodies of all requests take together.
 */
import type { IncomingMessage } from "node:http";
import type { Clock } from "../contracts/clock.ts";
import type { Reason } from "../contracts/outcome.ts";
import { createByteBuffer } from "./bytebuffer.ts";

/** A whole body (`undefined` when it is empty) with its memory, or the reason why it is refused. */
export type BodyResult = { body: Buffer | undefined; release: () => void } | { reason: Reason; detail: string };

/** Ends the reading of a body with the reason why it is refused. */
export type BodyBreaker = (reason: Reason, detail: string) => void;

/**
 * Reads a body until `deadlineAt`, in milliseconds of the reader's clock. `onStart` is called with a function that ends
 * the reading when the bytes on the connection can not complete the body.
 */
export type BodyReader = (
    incoming: IncomingMessage,
    deadlineAt: number,
    onStart?: (breakOff: BodyBreaker) => void,
) => Promise<BodyResult>;

export type BodyReaderOptions = {
    /** Limit on one body. */
    maxBodyBytes: number;
    /** Limit on all bodies that are held at the same time. */
    maxBufferedBytes: number;
    clock: Clock;
};

/** Whether the headers say that a body follows. */
export const announcesBody = (incoming: IncomingMessage): boolean => {
    const length = incoming.headers["content-length"];
    return incoming.headers["transfer-encoding"] !== undefined || (length !== undefined && length !== "0");
};

/** Creates a reader. A body counts towards `maxBufferedBytes` until `release` of its result is called. */
export const createBodyReader = (options: BodyReaderOptions): BodyReader => {
    const { maxBodyBytes, maxBufferedBytes, clock } = options;
    let bufferedBytes = 0;

    return (incoming, deadlineAt, onStart) =>
        new Promise(resolve => {
            const content = createByteBuffer();
            /** What this body takes of `bufferedBytes`. */
            let ownBytes = 0;
            let settled = false;

            const finish = (result: BodyResult): void => {
                if (settled) {
                    return;
                }
                settled = true;
                cancelTimer();
                resolve(result);
            };
            const release = (): void => {
                bufferedBytes -= ownBytes;
                ownBytes = 0;
            };
            const refuse = (reason: Reason, detail: string): void => {
                if (!settled) {
                    release();
                    content.take();
                    incoming.pause();
                }
                finish({ reason, detail });
            };
            onStart?.(refuse);
            const cancelTimer = clock.after(Math.max(0, deadlineAt - clock.now()), () => {
                refuse("deadline-unreachable", "The body did not arrive before the deadline.");
            });

            if (Number(incoming.headers["content-length"] ?? 0) > maxBodyBytes) {
                refuse("body-too-large", `The body is larger than ${maxBodyBytes} bytes.`);
                return;
            }
            incoming.on("data", (chunk: Buffer) => {
                if (settled) {
                    return;
                }
                if (content.size() + chunk.length > maxBodyBytes) {
                    refuse("body-too-large", `The body is larger than ${maxBodyBytes} bytes.`);
                    return;
                }
                const capacity = content.capacityWith(chunk);
                if (bufferedBytes - ownBytes + capacity > maxBufferedBytes) {
                    refuse("memory-full", `The bodies of all requests together exceed ${maxBufferedBytes} bytes.`);
                    return;
                }
                content.append(chunk);
                bufferedBytes += capacity - ownBytes;
                ownBytes = capacity;
            });
            incoming.once("end", () => {
                const body = content.take();
                finish({ body: body.length === 0 ? undefined : body, release });
            });
            incoming.once("error", () => refuse("cancelled", "The caller hung up before its body was complete."));
            incoming.once("close", () => refuse("cancelled", "The caller hung up before its body was complete."));
        });
};
