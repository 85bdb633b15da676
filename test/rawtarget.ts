/**
 * A target for tests that answers with the bytes that a test gives, and helpers to send requests to it.
 */
import { type AddressInfo, createServer, type Socket } from "node:net";
import type { CallerRequest } from "../src/links/callers.ts";
import { systemClock } from "../src/links/clock.ts";
import { type Attempt, createSender, type ExchangeSample } from "../src/machines/sender.ts";
import { createTargetViews, type TargetView } from "../src/machines/target.ts";

/** Answers one request. `request` is its text as received, `id` its request id. */
export type RawAnswer = (socket: Socket, id: string, request: string) => void;

export type RawTarget = {
    address: string;
    /** Number of connections on which a request was received. */
    used: () => number;
    /** Number of requests received. */
    received: () => number;
    close: () => Promise<void>;
};

/** A server of bytes on a port of the loopback address. */
export type TextServer = { address: string; stopListening: () => void; close: () => Promise<void> };

/** Starts a server that gets what comes on each connection as text. */
export const startTextServer = async (onText: (socket: Socket, text: string) => void): Promise<TextServer> => {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("close", () => sockets.delete(socket));
        socket.on("data", (data: Buffer) => onText(socket, data.toString("latin1")));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        stopListening: () => void server.close(),
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                sockets.forEach(socket => socket.destroy());
            }),
    };
};

/** Returns the id of the request that the text begins, if it names one. */
export const idOf = (text: string): string | undefined => /request-id: ([^\r\n]+)/.exec(text)?.[1];

/** Starts a target. The n-th request gets the n-th answer, and further requests the last one. */
export const startRawTarget = async (answers: RawAnswer[]): Promise<RawTarget> => {
    const used = new Set<Socket>();
    let received = 0;
    const { address, close } = await startTextServer((socket, text) => {
        const id = idOf(text);
        if (id !== undefined) {
            const answer = answers[Math.min(received, answers.length - 1)];
            received += 1;
            used.add(socket);
            answer(socket, id, text);
        }
    });
    return { address, used: () => used.size, received: () => received, close };
};

/** The head of a successful answer with the given request id and further header lines. */
export const headOf = (id: string, ...lines: string[]): string =>
    ["HTTP/1.1 200 OK", `request-id: ${id}`, "target-outcome: ran", ...lines, "", ""].join("\r\n");

/** Answers with the complete body `whole`. */
export const wholeAnswer: RawAnswer = (socket, id) => socket.write(`${headOf(id, "content-length: 5")}whole`);

let requestCount = 0;

/** Creates a request as the link to callers passes it on. */
export const requestOf = (part: Partial<CallerRequest> = {}): CallerRequest => {
    requestCount += 1;
    return {
        id: `request-${requestCount}`,
        method: "GET",
        pool: "orders",
        path: "/item",
        headers: {},
        body: undefined,
        key: "key",
        idempotencyKey: undefined,
        attempt: undefined,
        receivedAt: systemClock.now(),
        deadlineAt: systemClock.now() + 30_000,
        hangUp: { happened: false, listener: undefined },
        ...part,
    };
};

export type Exchange = {
    view: TargetView;
    samples: ExchangeSample[];
    send: (request: CallerRequest) => Promise<Attempt>;
};

/** Creates a sender and a view of one target address. Close it at the end of the test. */
export const openExchange = (address: string): Exchange & { close: () => Promise<void> } => {
    const views = createTargetViews(() => 4);
    const target = { name: "target-1", address, zone: "zone-1", concurrency: 3, connections: 4, speed: 1 };
    const view = views.of("orders", { leaving: false, ...target });
    const samples: ExchangeSample[] = [];
    const sender = createSender({ clock: systemClock, onFinished: (...[, sample]) => samples.push(sample) });
    return {
        view,
        samples,
        send: request =>
            sender.send({
                request,
                pool: "orders",
                view,
                slot: 1,
                revision: 1,
                attempt: 1,
                mayStart: () => true,
                cancellable: true,
            }).result,
        close: views.close,
    };
};
