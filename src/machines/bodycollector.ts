/**
 * Collects the body of one answer. A small body is passed on when it is complete, so that the request can still be
 * refused or retried when the body breaks off. A larger body is passed on as a stream with back-pressure.
 */
import { createByteBuffer } from "../links/bytebuffer.ts";
import type { AnswerStream, StreamCut, StreamReceiver } from "../links/callers.ts";

export type BodyCollector = {
    /** Takes the next bytes. False asks the sender to pause until `resume`. */
    onBytes: (bytes: Buffer) => boolean;
    /** The body is complete. */
    onEnd: () => void;
    /** The exchange failed. True when the body had already been passed on as a stream. */
    onFailure: (cut: StreamCut) => boolean;
    isStreaming: () => boolean;
};

export type BodyCollectorOptions = {
    /** Bodies up to this size are buffered until they are complete. */
    maxBufferedBytes: number;
    /** Asks the sender for more bytes. */
    resume: () => void;
    /** Aborts the exchange. */
    abort: () => void;
    /** Called once, with the complete body or with the stream of a larger one. */
    onBody: (body: Buffer | undefined | AnswerStream) => void;
};

/** Creates the collector of one answer's body. */
export const createBodyCollector = (options: BodyCollectorOptions): BodyCollector => {
    const buffered = createByteBuffer();
    let streaming = false;
    let isWhole = false;
    let cutBy: StreamCut | undefined;
    let receiver: StreamReceiver | undefined;

    const start = (newReceiver: StreamReceiver): void => {
        receiver = newReceiver;
        const wantsMore = newReceiver.onBytes(buffered.take());
        if (isWhole) {
            newReceiver.onEnd();
        }
        else if (cutBy !== undefined) {
            newReceiver.onFailure(cutBy);
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
            buffered.append(bytes);
            if (buffered.size() <= options.maxBufferedBytes) {
                return true;
            }
            if (!streaming) {
                streaming = true;
                options.onBody({ start, resume: options.resume, abort: options.abort });
            }
            return false;
        },
        onEnd: () => {
            isWhole = true;
            if (!streaming) {
                options.onBody(buffered.size() === 0 ? undefined : buffered.take());
                return;
            }
            receiver?.onEnd();
        },
        onFailure: cut => {
            cutBy = cut;
            receiver?.onFailure(cut);
            return streaming;
        },
        isStreaming: () => streaming,
    };
};
