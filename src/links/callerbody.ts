/**
 * The body of a caller's request: read whole within limits of size, of time and of memory for all requests together.
 */
import type { IncomingMessage } from "node:http";
import type { Clock } from "../contracts/clock.ts";
import type { Reason } from "../contracts/outcome.ts";

export type BodyResult = { body: Buffer | undefined; release: () => void } | { reason: Reason; detail: string };

export type BodyReader = (incoming: IncomingMessage, deadlineAt: number) => Promise<BodyResult>;

export type BodyReaderOptions = { maxBodyBytes: number; maxBufferedBytes: number; clock: Clock };

/** Whether the head announces a body. */
export const announcesBody = (incoming: IncomingMessage): boolean => {
    const length = incoming.headers["content-length"];
    return incoming.headers["transfer-encoding"] !== undefined || (length !== undefined && length !== "0");
};

/** Creates a reader. Memory of a body that was read is held until its `release` is called. */
export const createBodyReader = (options: BodyReaderOptions): BodyReader => {
    const { maxBodyBytes, maxBufferedBytes, clock } = options;
    let bufferedBytes = 0;

    return (incoming, deadlineAt) =>
        new Promise(resolve => {
            const parts: Buffer[] = [];
            let size = 0;
            let over = false;

            const finish = (result: BodyResult): void => {
                if (over) {
                    return;
                }
                over = true;
                cancelTimer();
                resolve(result);
            };
            const release = (): void => {
                bufferedBytes -= size;
                size = 0;
            };
            const refuse = (reason: Reason, detail: string): void => {
                if (!over) {
                    release();
                    incoming.pause();
                }
                finish({ reason, detail });
            };
            const cancelTimer = clock.after(Math.max(0, deadlineAt - clock.now()), () => {
                refuse("deadline-unreachable", "The body did not arrive before the deadline.");
            });

            if (Number(incoming.headers["content-length"] ?? 0) > maxBodyBytes) {
                refuse("body-too-large", `The body is larger than ${maxBodyBytes} bytes.`);
                return;
            }
            incoming.on("data", (part: Buffer) => {
                if (over) {
                    return;
                }
                if (size + part.length > maxBodyBytes) {
                    refuse("body-too-large", `The body is larger than ${maxBodyBytes} bytes.`);
                    return;
                }
                if (bufferedBytes + part.length > maxBufferedBytes) {
                    refuse("memory-full", `The bodies of all requests together exceed ${maxBufferedBytes} bytes.`);
                    return;
                }
                size += part.length;
                bufferedBytes += part.length;
                parts.push(part);
            });
            incoming.once("end", () => finish({ body: size === 0 ? undefined : Buffer.concat(parts), release }));
            incoming.once("error", () => refuse("cancelled", "The caller hung up before its body was complete."));
            incoming.once("close", () => refuse("cancelled", "The caller hung up before its body was complete."));
        });
};
