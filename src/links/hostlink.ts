/**
 * One open link to another host, after the handshake. Carries messages, and questions with their answers, in queues of
 * limited size. A heartbeat closes the link when nothing arrives on it any more.
 */
import { pack } from "msgpackr";
import { WebSocket } from "ws";
import { z } from "zod";
import type { Clock } from "../contracts/clock.ts";
import { type Message, type MessageKind, messageKinds, messageSchema } from "../contracts/messages.ts";
import { decodeFrame } from "./frames.ts";
import { type CloseReason, closeReasons } from "./handshake.ts";

export type HostLink = {
    readonly host: string;
    readonly incarnation: string;
    /** Name of the host that dialled. */
    readonly dialer: string;
    /** Resolves when the link has closed. */
    readonly closed: Promise<void>;
    /** Sends a message that needs no answer; false when the link is closed or its queue is full. */
    tell: (message: Message) => boolean;
    /**
     * Sends a question and waits for its answer; undefined when none came in time or the question could not be sent.
     */
    ask: (message: Message, timeoutMilliseconds: number) => Promise<Message | undefined>;
    /** Closes the link at once. A reason is passed on to `onClose`. */
    close: (reason?: CloseReason) => void;
};

export type HostLinkOptions = {
    socket: WebSocket;
    host: string;
    incarnation: string;
    dialer: string;
    /** Whether this end sends the heartbeat. Only one end does: it sees the answers, the other end the heartbeats. */
    sendsHeartbeat: boolean;
    /** Limit on the bytes that wait to be sent. */
    maxQueuedBytes: number;
    /** Limit on the questions that wait for their answers. */
    maxPendingQuestions: number;
    clock: Clock;
    /** Handles a received message. Its result is sent back when the message is a question. */
    receive: (message: Message) => Promise<Message | undefined>;
    /** Called with the size of each frame that is sent. */
    onSent: (kind: MessageKind, bytes: number) => void;
    /** Called with the size of each frame that is received. */
    onReceived: (bytes: number) => void;
    /** Called when a message is not sent since a queue is full. */
    onQueueFull: () => void;
    /** Called once when the link has closed, with the reason if this end closed it for one. */
    onClose: (reason: CloseReason | undefined) => void;
    /** Called when the handling of a message fails. */
    onError: (error: unknown) => void;
};

/** A frame. `id` is the number of the question, 0 for a message that needs no answer; `answers` marks the answer. */
const envelopeSchema = z.strictObject({ id: z.int().min(0), answers: z.boolean(), message: z.unknown() });
type Envelope = z.infer<typeof envelopeSchema>;

const heartbeatIntervalMilliseconds = 1_000;
const maxSilenceMilliseconds = 3_500;

/** Creates the link on a socket whose handshake is done. */
export const createHostLink = (options: HostLinkOptions): HostLink => {
    const { socket, clock } = options;
    const pendingQuestions = new Map<number, (message: Message | undefined) => void>();
    const lifetime = new AbortController();
    let nextId = 1;
    let lastHeardAt = clock.now();
    let closeReason: CloseReason | undefined;
    let markClosed: () => void = () => undefined;
    const closed = new Promise<void>(resolve => {
        markClosed = resolve;
    });

    const close = (reason?: CloseReason): void => {
        closeReason ??= reason;
        socket.terminate();
    };

    const isOpen = (): boolean => socket.readyState === WebSocket.OPEN;

    const send = (envelope: Envelope & { message: Message }): boolean => {
        if (!isOpen()) {
            return false;
        }
        if (socket.bufferedAmount > options.maxQueuedBytes) {
            options.onQueueFull();
            return false;
        }
        const bytes = pack(envelope);
        options.onSent(envelope.message.kind, bytes.length);
        socket.send(bytes);
        return true;
    };

    const handleEnvelope = async (envelope: Envelope): Promise<void> => {
        const parsed = messageSchema.safeParse(envelope.message);
        if (!parsed.success) {
            const { kind } = (envelope.message ?? {}) as { kind?: unknown };
            const isKnownKind = typeof kind !== "string" || messageKinds.has(kind);
            close(isKnownKind ? closeReasons.malformedMessage : closeReasons.unknownMessage);
            return;
        }
        if (envelope.answers) {
            pendingQuestions.get(envelope.id)?.(parsed.data);
            return;
        }
        const answer = await options.receive(parsed.data);
        if (answer !== undefined && envelope.id !== 0) {
            send({ id: envelope.id, answers: true, message: answer });
        }
    };

    const checkHeartbeat = (): void => {
        // Before the check, which then comes again even if it throws.
        clock.after(heartbeatIntervalMilliseconds, checkHeartbeat, lifetime.signal);
        if (clock.now() - lastHeardAt > maxSilenceMilliseconds) {
            close();
            return;
        }
        if (isOpen() && options.sendsHeartbeat) {
            socket.ping();
        }
    };

    socket.on("message", (data: Buffer) => {
        lastHeardAt = clock.now();
        options.onReceived(data.length);
        const envelope = envelopeSchema.safeParse(decodeFrame(data));
        if (!envelope.success) {
            close(closeReasons.malformedFrame);
            return;
        }
        handleEnvelope(envelope.data).catch(options.onError);
    });
    socket.on("pong", () => {
        lastHeardAt = clock.now();
    });
    socket.on("ping", () => {
        lastHeardAt = clock.now();
    });
    socket.on("error", (error: Error & { code?: string }) => {
        if (error.code === "WS_ERR_UNSUPPORTED_MESSAGE_LENGTH") {
            closeReason ??= closeReasons.oversizedFrame;
        }
    });
    socket.once("close", () => {
        lifetime.abort();
        pendingQuestions.forEach(resolve => resolve(undefined));
        pendingQuestions.clear();
        markClosed();
        options.onClose(closeReason);
    });
    clock.after(heartbeatIntervalMilliseconds, checkHeartbeat, lifetime.signal);

    return {
        host: options.host,
        incarnation: options.incarnation,
        dialer: options.dialer,
        closed,
        tell: message => send({ id: 0, answers: false, message }),
        ask: (message, timeoutMilliseconds) => {
            if (pendingQuestions.size >= options.maxPendingQuestions) {
                options.onQueueFull();
                return Promise.resolve(undefined);
            }
            const id = nextId;
            nextId += 1;
            if (!send({ id, answers: false, message })) {
                return Promise.resolve(undefined);
            }
            return new Promise(resolve => {
                const settle = (answer: Message | undefined): void => {
                    cancel();
                    pendingQuestions.delete(id);
                    resolve(answer);
                };
                const cancel = clock.after(timeoutMilliseconds, () => settle(undefined));
                pendingQuestions.set(id, settle);
            });
        },
        close,
    };
};
