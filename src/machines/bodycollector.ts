/**
 * Collecting the body of one answer. A small body is given on when it is whole, so that a cut one can still be refused
 * or retried; a larger one becomes a stream with back-pressure.
 */
import type { AnswerStream, StreamReceiver } from "../links/callers.ts";

export type BodyCollector = {
    /** False asks the sender for a pause. */
    onBytes: (bytes: Buffer) => boolean;
    onEnd: () => void;
    /** The exchange failed. True when the body had already been given on as a stream. */
    onFailure: () => boolean;
    isStreaming: () => boolean;
};

export type BodyCollectorOptions = {
    /** Bodies up to this size are held until they are whole. */
    maxHeldBytes: number;
    resume: () => void;
    abort: () => void;
    /** Called once with the whole body, or with the stream of a larger one. */
    onBody: (body: Buffer | undefined | AnswerStream) => void;
};

const joined = (parts: Buffer[]): Buffer | undefined => parts.length <= 1 ? parts[0] : Buffer.concat(parts);

/** Creates the collector of one answer. */
export const createBodyCollector = (options: BodyCollectorOptions): BodyCollector => {
    let held: Buffer[] = [];
    let heldBytes = 0;
    let streaming = false;
    let state: "arriving" | "whole" | "cut" = "arriving";
    let receiver: StreamReceiver | undefined;

    const start = (started: StreamReceiver): void => {
        receiver = started;
        const parts = held;
        held = [];
        let wantsMore = true;
        for (const bytes of parts) {
            wantsMore = started.onBytes(bytes);
        }
        if (state === "whole") {
            started.onEnd();
        }
        else if (state === "cut") {
            started.onFailure();
        }
        else if (wantsMore) {
            options.resume();
        }
    };

    return {
        onBytes: bytes => {
            if (receiver !== undefined) {
                return receiver.onBytes(bytes);
            }
            held.push(bytes);
            heldBytes += bytes.length;
            if (heldBytes <= options.maxHeldBytes) {
                return true;
            }
            if (!streaming) {
                streaming = true;
                options.onBody({ start, resume: options.resume, abort: options.abort });
            }
            return false;
        },
        onEnd: () => {
            state = "whole";
            if (!streaming) {
                options.onBody(joined(held));
                return;
            }
            receiver?.onEnd();
        },
        onFailure: () => {
            state = "cut";
            receiver?.onFailure();
            return streaming;
        },
        isStreaming: () => streaming,
    };
};
