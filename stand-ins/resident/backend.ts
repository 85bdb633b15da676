/**
 * A small stand-in of a backend on the users' platform, which speaks the platform's protocol. It has slots, a queue and
 * an instance id, reports its load, and serves keys under grants. It can become silent, shed requests, lose answers,
 * apply grants late, and crash under a request. Its answers can say that it leaves, name a limit on the requests of all
 * machines, and ask a machine to stay away for a while.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { type Garble, writeGarbled } from "./garble.ts";

export type BackendFaults = {
    /** Whether requests get no answer and don't run. */
    silent: boolean;
    /** Whether every request is shed. */
    shed: boolean;
    /** Whether the connection of a request is reset after its run instead of an answer. */
    loseAnswers: boolean;
    /** When above 0: grants get no answer and are applied after this time. Their hold counts from their arrival. */
    lateGrantMilliseconds: number;
    /** The backend crashes while it runs a request with this path, whatever its query. */
    crashPath: string | undefined;
    /** Only requests that name this caller in a header crash the backend; undefined for all. */
    crashCaller: string | undefined;
    /** How long such a request runs until the crash. */
    crashAfterMilliseconds: () => number;
    /** Whether requests with the path of a crash are answered with this status in place of a crash; 0 for no. */
    crashPathStatus: number;
    /** Time for which a crashed backend is down. */
    downMilliseconds: number;
    /** Whether answers say that the backend leaves. */
    leaving: boolean;
    /** The limit that answers name, as it stands in their header; undefined to name none. */
    limit: string | undefined;
    /** The seconds for which a machine that is turned away shall send nothing, as they stand in the header. */
    retryAfter: string | undefined;
    /** Each answer of this many says what the three fields above hold; the others leave it out. */
    noticeEvery: number;
    /** Returns how the next answer to a run is garbled; undefined for not at all. */
    garble: () => Garble | undefined;
};

export type BackendOptions = {
    /** Instance id of the first life. */
    id: string;
    /** Whether each life after a crash has an id of its own. */
    isRenamed?: boolean;
    /** Requests that run at the same time. */
    slots: number;
    /** Waiting requests beyond which new ones are shed. */
    queue: number;
    /** Time that a request runs. */
    workMilliseconds: number;
    /** Whether a request runs only while a grant covers its key. */
    isSharded: boolean;
    /** Port to listen on, of an address that had another backend before; a free one if it is left out. */
    port?: number;
    /** The body of the answer to a request; the default names only the backend. */
    bodyOf?: (requestId: string, id: string) => string;
    /** Called when the backend is back after a crash. */
    onRestart?: () => void;
    /** Called at a crash with the id of the life that it ends. */
    onCrash?: (id: string) => void;
};

export type BackendStandIn = {
    address: string;
    /** Instance id of the present life. */
    id: () => string;
    faults: BackendFaults;
    /** Number of runs of each request, by request id. */
    runCounts: Map<string, number>;
    /** Ids of the requests that arrived, whether they ran or not. */
    arrivedIds: Set<string>;
    /** Ids of the requests whose answers were cut. */
    cutIds: Set<string>;
    /** Ids of the requests on whose connection a second copy of an earlier answer came where their answer was due. */
    displacedIds: Set<string>;
    /** When each request arrived, in milliseconds of this process, without calls for grants. */
    arrivals: number[];
    /** All holds so far, also those that have ended. */
    holds: readonly Hold[];
    /** Whether a grant covers the key now. */
    ownsKey: (key: number) => boolean;
    /** Number of crashes so far. */
    crashes: () => number;
    /** Resets all connections. What runs goes on. */
    resetConnections: () => void;
    close: () => void;
};

/** A grant or release of the keys `from` to `target`, both included; `hold_time` is in milliseconds. */
type GrantBody = { from: number; target: number; fence: number; hold_time?: string };
/** A granted range and the time, in milliseconds of this process, in which it is held. */
export type Hold = { from: number; target: number; fence: number; since: number; until: number };

const readBody = async (request: IncomingMessage): Promise<string> => {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString("utf8");
};

const headerOf = (request: IncomingMessage, name: string): string | undefined => {
    const value = request.headers[name];
    return typeof value === "string" ? value : undefined;
};

/** Starts a backend on a free port of the loopback address and resolves once it listens. */
export const startBackendStandIn = async (options: BackendOptions): Promise<BackendStandIn> => {
    const { slots, queue, workMilliseconds, isSharded } = options;
    const faults: BackendFaults = {
        silent: false,
        shed: false,
        loseAnswers: false,
        lateGrantMilliseconds: 0,
        crashPath: undefined,
        crashCaller: undefined,
        crashAfterMilliseconds: () => 0,
        crashPathStatus: 0,
        downMilliseconds: 1_000,
        leaving: false,
        limit: undefined,
        retryAfter: undefined,
        noticeEvery: 1,
        garble: () => undefined,
    };
    const arrivals: number[] = [];
    const arrivedIds = new Set<string>();
    const cutIds = new Set<string>();
    const displacedIds = new Set<string>();
    /** The last request on each connection, and the connections with a second copy of an answer. */
    const lastIds = new WeakMap<Socket, string>();
    const repeatedOn = new WeakSet<Socket>();
    const sockets = new Set<Socket>();
    let answerCount = 0;
    const runCounts = new Map<string, number>();
    let waiting: Array<() => void> = [];
    let crashCount = 0;
    let isClosed = false;
    let heldRanges: Hold[] = [];
    const holds: Hold[] = [];
    let fences: GrantBody[] = [];
    let running = 0;

    const id = (): string => options.isRenamed === true && crashCount > 0 ? `${options.id}.${crashCount}` : options.id;

    const ownsKey = (key: number): boolean =>
        heldRanges.some(held => held.from <= key && key <= held.target && held.until > performance.now());

    const overlaps = (left: GrantBody, right: GrantBody): boolean =>
        left.from <= right.target && left.target >= right.from;

    /** Ends the hold of the keys of the body. A held range that contains them is split. */
    const endHolds = (body: GrantBody): void => {
        const since = performance.now();
        heldRanges = heldRanges.flatMap(held => {
            if (!overlaps(held, body)) {
                return [held];
            }
            const pieces = [
                { ...held, since, target: Math.min(held.target, body.from - 1) },
                { ...held, since, from: Math.max(held.from, body.target + 1) },
            ].filter(piece => piece.from <= piece.target);
            held.until = Math.min(held.until, since);
            holds.push(...pieces);
            return pieces;
        });
    };

    /**
     * Applies a grant and returns the status of its answer: 409 if an overlapping grant or release came earlier with a
     * higher fence.
     */
    const applyGrant = (body: GrantBody, arrivedAt: number): number => {
        if (fences.some(other => overlaps(other, body) && other.fence > body.fence)) {
            return 409;
        }
        fences = [...fences.filter(other => other.fence !== body.fence || !overlaps(other, body)), body];
        endHolds(body);
        const { from, target, fence, hold_time: holdTime = "0" } = body;
        const hold = { from, target, fence, since: performance.now(), until: arrivedAt + Number.parseFloat(holdTime) };
        heldRanges.push(hold);
        holds.push(hold);
        return 200;
    };

    const noticeHeaders = (statusCode: number): Record<string, string> => {
        answerCount += 1;
        if (answerCount % faults.noticeEvery !== 0) {
            return {};
        }
        return {
            ...(faults.leaving ? { "server-leaving": "1" } : {}),
            ...(faults.limit === undefined ? {} : { "server-limit": faults.limit }),
            ...(statusCode === 503 && faults.retryAfter !== undefined ? { "retry-after": faults.retryAfter } : {}),
        };
    };

    /** Sends an answer with the load, the instance id, and what the backend wants. */
    const sendAnswer = (
        response: ServerResponse,
        statusCode: number,
        headers: Record<string, string>,
        body = "",
    ): void => {
        const load = `${running},${waiting.length},${slots}`;
        response.writeHead(statusCode, {
            "server-load": load,
            "instance-id": id(),
            "content-length": Buffer.byteLength(body),
            ...noticeHeaders(statusCode),
            ...headers,
        });
        response.end(body);
    };

    /** Waits for a free slot and takes it. */
    const takeSlot = async (): Promise<void> => {
        if (running >= slots) {
            await new Promise<void>(resolve => waiting.push(resolve));
        }
        running += 1;
    };

    /** Runs a request, or answers that it did not run. */
    const run = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        arrivals.push(performance.now());
        const requestId = headerOf(request, "request-id");
        const target = headerOf(request, "target-instance");
        if (requestId === undefined) {
            sendAnswer(response, 400, { "not-executed": "1" });
            return;
        }
        arrivedIds.add(requestId);
        lastIds.set(request.socket, requestId);
        if (repeatedOn.has(request.socket)) {
            displacedIds.add(requestId);
        }
        if (target !== undefined && target !== id()) {
            sendAnswer(response, 421, { "request-id": requestId });
            return;
        }
        if (isSharded && !ownsKey(Number(headerOf(request, "shard-key")))) {
            sendAnswer(response, 421, { "not-executed": "1", "request-id": requestId });
            return;
        }
        if (faults.shed || waiting.length >= queue) {
            sendAnswer(response, 503, { "not-executed": "1", "request-id": requestId });
            return;
        }
        const life = crashCount;
        await takeSlot();
        runCounts.set(requestId, (runCounts.get(requestId) ?? 0) + 1);
        const isCrashing = faults.crashPath !== undefined && request.url?.split("?")[0] === faults.crashPath
            && (faults.crashCaller === undefined || headerOf(request, "caller") === faults.crashCaller);
        await sleep(isCrashing ? faults.crashAfterMilliseconds() : workMilliseconds);
        if (life !== crashCount) {
            return;
        }
        if (isCrashing && faults.crashPathStatus === 0) {
            await crash();
            return;
        }
        running -= 1;
        waiting.shift()?.();
        if (isCrashing) {
            sendAnswer(response, faults.crashPathStatus, { "request-id": requestId });
            return;
        }
        if (faults.loseAnswers) {
            request.socket.resetAndDestroy();
            return;
        }
        const body = options.bodyOf?.(requestId, id()) ?? `served by ${id()}`;
        const headers = { "request-id": requestId, "response-signature": `${id()}.signature` };
        const garble = faults.garble();
        if (garble === undefined) {
            sendAnswer(response, 200, headers, body);
            return;
        }
        if (garble.startsWith("cut-")) {
            cutIds.add(requestId);
        }
        const onRepeat = (): void => {
            repeatedOn.add(request.socket);
            const lastId = lastIds.get(request.socket);
            if (lastId !== undefined && lastId !== requestId) {
                displacedIds.add(lastId);
            }
        };
        const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
        writeGarbled(
            request.socket,
            garble,
            `HTTP/1.1 200 OK\r\n${lines.join("")}`,
            Buffer.from(body),
            onRepeat,
        );
    };

    const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        const arrivedAt = performance.now();
        const body = await readBody(request);
        if (faults.silent) {
            return;
        }
        if (request.url === "/v1/grant" && faults.lateGrantMilliseconds > 0) {
            await sleep(faults.lateGrantMilliseconds);
            applyGrant(JSON.parse(body) as GrantBody, arrivedAt);
            return;
        }
        if (request.url === "/v1/grant") {
            sendAnswer(response, applyGrant(JSON.parse(body) as GrantBody, arrivedAt), {});
            return;
        }
        if (request.url === "/v1/release") {
            const released = JSON.parse(body) as GrantBody;
            endHolds(released);
            fences.push(released);
            sendAnswer(response, 200, { handover: `${id()}-state` });
            return;
        }
        await run(request, response);
    };

    /** Listens on the port, or on a free one if it is 0. */
    const listen = async (port: number): Promise<Server> => {
        const listening = createServer((request, response) => {
            serve(request, response).catch(() => response.destroy());
        });
        listening.on("connection", socket => {
            sockets.add(socket);
            socket.once("close", () => sockets.delete(socket));
        });
        await new Promise<void>(resolve => listening.listen(port, "127.0.0.1", resolve));
        return listening;
    };
    let server = await listen(options.port ?? 0);
    const { port } = server.address() as AddressInfo;

    const stopListening = (): void => {
        server.close();
        server.closeAllConnections();
    };

    /** Drops all connections, queued requests and grants, and is back after a while. */
    const crash = async (): Promise<void> => {
        options.onCrash?.(id());
        crashCount += 1;
        running = 0;
        waiting = [];
        heldRanges.forEach(held => held.until = Math.min(held.until, performance.now()));
        heldRanges = [];
        fences = [];
        stopListening();
        await sleep(faults.downMilliseconds);
        if (!isClosed) {
            server = await listen(port);
            options.onRestart?.();
        }
    };

    return {
        address: `127.0.0.1:${port}`,
        id,
        faults,
        runCounts,
        arrivedIds,
        cutIds,
        displacedIds,
        arrivals,
        holds,
        ownsKey,
        crashes: () => crashCount,
        resetConnections: () => sockets.forEach(socket => socket.resetAndDestroy()),
        close: () => {
            isClosed = true;
            stopListening();
        },
    };
};
