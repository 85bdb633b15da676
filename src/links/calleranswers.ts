/**
 * What the link to callers, the router and a protocol tell one another: requests, answers, refusals and streamed bodies.
 */
import type { IncomingMessage } from "node:http";
import type { Reason } from "../contracts/outcome.ts";
import type { HangUp } from "./callerhead.ts";

/** Why a streamed answer was cut: its target broke it off, its time was over, or the host stopped. */
export type StreamCut = "answer-cut-short" | "answer-timed-out" | "host-stopped";

/** Receives a streamed body. After `onEnd` or `onFailure` no method is called again. */
export type StreamReceiver = {
    /** Returns false to pause the stream until `resume` is called. */
    onBytes: (bytes: Buffer) => boolean;
    onEnd: () => void;
    /** Called when the rest of the body is lost. */
    onFailure: (cut: StreamCut) => void;
};

/** The body of an answer that is passed on while it still arrives. */
export type AnswerStream = {
    /** Begins to deliver the body. */
    start: (receiver: StreamReceiver) => void;
    resume: () => void;
    /** Drops the rest of the body. */
    abort: () => void;
};

/** The answer of a target, or a refusal. */
export type CallerAnswer =
    | {
        kind: "answer";
        statusCode: number;
        headers: Record<string, string | string[]>;
        body: Buffer | undefined | AnswerStream;
        /**
         * Whether only the close of the connection ends the answer, since the target sent no length and cannot tell
         * whether it was whole. It is written to the caller in the same way.
         */
        endsWithConnection?: boolean;
    }
    | { kind: "refusal"; reason: Reason; detail: string; retryAfterMilliseconds?: number };

export type CallerRefusal = CallerAnswer & { kind: "refusal" };

/** The properties of a request that the link itself uses. */
export type BaseCallerRequest = {
    id: string;
    body: Buffer | undefined;
    /** Monotonic milliseconds on the host's clock. */
    deadlineAt: number;
    hangUp: HangUp;
};

/** How requests of callers are read, and how refusals are written to them. */
export type CallerProtocol<Request extends BaseCallerRequest> = {
    isHealthCheck: (incoming: IncomingMessage) => boolean;
    /** Reads the head of a request, or returns why it is refused. */
    read: (incoming: IncomingMessage, receivedAt: number) => Request | CallerRefusal;
    /** Adds the headers that the host itself puts on a target's answer. */
    addAnswerHeaders: (headers: Record<string, string | string[]>, requestId: string) => void;
    /** Formats a refusal. The link adds further headers to the result. */
    formatRefusal: (refusal: CallerRefusal, requestId: string | undefined) => RefusalResponse;
};

/** A refusal as an HTTP response. */
export type RefusalResponse = { statusCode: number; headers: Record<string, string | number>; body: string };
