/**
 * One open link to another host, after the handshake: messages, questions with answers, bounded queues, and a heartbeat
 * that closes a link on which nothing comes back.
 */
import { pack } from "msgpackr";
import { WebSocket } from "ws";
import { z } from "zod";
import type { Clock } from "../contracts/clock.ts";
import { type Message, type MessageKind, messageKinds, messageSchema } from "../contracts/messages.ts";
import { type CloseReason, closeReasons, decodeFrame } from "./handshake.ts";

export type HostLink = {
    readonly host: string;
    readonly incarnation: string;
    /** Name of the host that dialled. */
    readonly dialer: string;
    /** Resolves when the link has closed. */
    readonly closed: Promise<void>;
    /** Sends without waiting; false when the link is closed or its queue is full. */
    tell: (message: Message) => boolean;
    /** Sends and waits for the answer; undefined when none came in time, or it could not be sent. */
    ask: (message: Message, timeoutMilliseconds: number) => Promise<Message | undefined>;
    /** Closes at once; a reason is counted and logged. */
    close: (reason?: CloseReason) => void;
};

export type HostLinkOptions = {
    socket: WebSocket;
    host: string;
    incarnation: string;
    dialer: string;
    /** Whether this end sends the heartbeat; one of the two does, and both see it come or be answered. */
    sendsHeartbeat: boolean;
    /** Bytes that may wait to be sent, and questions that may wait for answers. */
    maxQueuedBytes: number;
    maxPendingQuestions: number;
    clock: Clock;
    /** Handles a message; what it resolves with answers a question. */
    receive: (message: Message) => Promise<Message | undefined>;
    onSent: (kind: MessageKind, bytes: number) => void;
    onReceived: (bytes: number) => void;
    onQueueFull: () => void;
    /** Called once, with the reason when this end closed it for one. */
    onClose: (reason: CloseReason | undefined) => void;
    onError: (error: unknown) => void;
};

const envelopeSchema = z.strictObject({ id: z.int().min(0), answers: z.boolean(), message: z.unknown() });
type Envelope = z.infer<typeof envelopeSchema>;

const heartbeatMilliseconds = 1_000;
const silenceMilliseconds = 3_500;

/** Takes over a socket whose handshake is done. */
export const createHostLink = (options: HostLinkOptions): HostLink => {
    const { socket, clock } = options;
    const waiting = new Map<number, (message: Message | undefined) => void>();
    const life = new AbortController();
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

    const takeMessage = async (envelope: Envelope): Promise<void> => {
        const parsed = messageSchema.safeParse(envelope.message);
        if (!parsed.success) {
            const { kind } = (envelope.message ?? {}) as { kind?: unknown };
            const known = typeof kind !== "string" || messageKinds.has(kind);
            close(known ? closeReasons.malformedMessage : closeReasons.unknownMessage);
            return;
        }
        if (envelope.answers) {
            waiting.get(envelope.id)?.(parsed.data);
            return;
        }
        const answer = await options.receive(parsed.data);
        if (answer !== undefined && envelope.id !== 0) {
            send({ id: envelope.id, answers: true, message: answer });
        }
    };

    const beat = (): void => {
        if (clock.now() - lastHeardAt > silenceMilliseconds) {
            close();
            return;
        }
        if (isOpen() && options.sendsHeartbeat) {
            socket.ping();
        }
        clock.after(heartbeatMilliseconds, beat, life.signal);
    };

    socket.on("message", (data: Buffer) => {
        lastHeardAt = clock.now();
        options.onReceived(data.length);
        const envelope = envelopeSchema.safeParse(decodeFrame(data));
        if (!envelope.success) {
            close(closeReasons.malformedFrame);
            return;
        }
        takeMessage(envelope.data).catch(options.onError);
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
        life.abort();
        waiting.forEach(resolve => resolve(undefined));
        waiting.clear();
        markClosed();
        options.onClose(closeReason);
    });
    clock.after(heartbeatMilliseconds, beat, life.signal);

    return {
        host: options.host,
        incarnation: options.incarnation,
        dialer: options.dialer,
        closed,
        tell: message => send({ id: 0, answers: false, message }),
        ask: (message, timeoutMilliseconds) => {
            if (waiting.size >= options.maxPendingQuestions) {
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
                    waiting.delete(id);
                    resolve(answer);
                };
                const cancel = clock.after(timeoutMilliseconds, () => settle(undefined));
                waiting.set(id, settle);
            });
        },
        close,
    };
};
