/**
 * A small stand-in of a target: it takes grants and checks fences, runs a bounded number of requests at once, starts
 * cold, drains, sheds, obeys deadlines and cancellation, and reports health and load that lag. It can freeze and thaw,
 * crash and return. Its own records tell which requests ran and when it owned which slots.
 */
import { randomUUID } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { type Grant, type GrantAnswer, grantSchema } from "../src/contracts/grant.ts";
import {
    targetAnswerHeaders,
    targetPaths,
    type TargetRefusal,
    targetRefusals,
    targetRequestHeaders,
    targetStates,
} from "../src/contracts/targetprotocol.ts";
import { type HeldGrant, releasingOf, requestRefusal, takeGrant } from "../src/decisions/grant.ts";
import { createSlotHash } from "../src/decisions/hash.ts";

export type TargetStandInOptions = {
    name: string;
    port?: number;
    /** Whether owned keys are refused without a live grant. */
    checksGrants: boolean;
    /** Whether keys are divided, so that grants matter at all. */
    byKey: boolean;
    slotCount?: number;
    concurrency: number;
    connections: number;
    serviceMilliseconds: number;
    /** Delay added to each answer, for the way between zones. */
    networkMilliseconds?: number;
    /** Time after a start during which requests take `coldFactor` times as long. */
    coldMilliseconds?: number;
    coldFactor?: number;
    /** Waiting requests beyond which new ones are shed. */
    queueLength?: number;
    /** Age of the answers of the health and load endpoints. */
    lagMilliseconds?: number;
};

/** One run of a request, from the target's own records. */
export type Execution = {
    requestId: string;
    idempotencyKey: string;
    key: string;
    startedAt: number;
    incarnation: string;
};

/** A time during which the target would have served a slot, in milliseconds of the machine's monotonic clock. */
export type OwnedSpan = { pool: string; slot: number; from: number; until: number };

export type TargetStandIn = {
    name: string;
    address: string;
    executions: Execution[];
    /** Spans of ownership so far, those that are open included. */
    ownedSpans: () => OwnedSpan[];
    refusals: Record<string, number>;
    peakConnections: () => number;
    freeze: () => void;
    thaw: () => void;
    /** Drops all connections and state at once. */
    crash: () => Promise<void>;
    /** Starts again at the same address, as a new incarnation. */
    restart: () => Promise<void>;
    drain: () => void;
    shed: (active: boolean) => void;
    /** Crashes on each request whose key has this value. */
    poisonKey: (key: string | undefined) => void;
    close: () => Promise<void>;
};

type Running = { pool: string; slot: number; key: string };
type Waiting = { start: () => void; request: IncomingMessage };

/** Milliseconds of the machine's monotonic clock, the same in every process. */
export const machineMilliseconds = (): number => Number(process.hrtime.bigint() / 1_000n) / 1_000;

const headerOf = (request: IncomingMessage, name: string): string => String(request.headers[name] ?? "");

/** Starts the stand-in on loopback. */
export const createTargetStandIn = async (options: TargetStandInOptions): Promise<TargetStandIn> => {
    const slotHash = await createSlotHash();
    const slotCount = options.slotCount ?? 1_024;
    const executions: Execution[] = [];
    const closedSpans: OwnedSpan[] = [];
    const refusals: Record<string, number> = {};
    let peakConnections = 0;
    let port = options.port ?? 0;
    let server: Server;
    let frozen: Array<() => void> | undefined;
    let poisonedKey: string | undefined;

    // State of one incarnation, lost at a crash.
    let incarnation = "";
    let startedAt = 0;
    let grants = new Map<string, HeldGrant>();
    let openSpans = new Map<string, OwnedSpan>();
    let running = new Set<Running>();
    let waiting: Waiting[] = [];
    let draining = false;
    let shedding = false;
    let lagged: Array<{ at: number; state: string; running: number; queued: number }> = [];

    const clock = machineMilliseconds;

    const unlessFrozen = (work: () => void): void => {
        if (frozen === undefined) {
            work();
            return;
        }
        frozen.push(work);
    };

    const headersNow = (): Record<string, string> => ({
        [targetAnswerHeaders.clock]: String(clock()),
        [targetAnswerHeaders.incarnation]: incarnation,
        [targetAnswerHeaders.load]: String(running.size + waiting.length),
    });

    const answer = (
        response: ServerResponse,
        statusCode: number,
        body: string,
        headers: Record<string, string> = {},
    ): void => {
        const send = (): void => {
            if (response.destroyed) {
                return;
            }
            response.writeHead(statusCode, {
                "content-type": "application/json",
                "content-length": Buffer.byteLength(body),
                ...headersNow(),
                ...headers,
            });
            response.end(body);
        };
        const delay = options.networkMilliseconds ?? 0;
        if (delay === 0) {
            send();
            return;
        }
        setTimeout(() => unlessFrozen(send), delay);
    };

    const refuse = (request: IncomingMessage, response: ServerResponse, refusal: TargetRefusal): void => {
        refusals[refusal] = (refusals[refusal] ?? 0) + 1;
        answer(response, 503, JSON.stringify({ refusal }), {
            [targetAnswerHeaders.requestId]: headerOf(request, targetRequestHeaders.requestId),
            [targetAnswerHeaders.outcome]: "not-run",
            [targetAnswerHeaders.refusal]: refusal,
            [targetAnswerHeaders.backOff]: refusal === targetRefusals.shed ? "100" : "0",
        });
    };

    const closeSpan = (spanKey: string, until: number): void => {
        const span = openSpans.get(spanKey);
        if (span !== undefined) {
            openSpans.delete(spanKey);
            closedSpans.push({ ...span, until: Math.min(until, span.until) });
        }
    };

    const recordSpans = (pool: string, held: HeldGrant): void => {
        const now = clock();
        for (const [spanKey, span] of openSpans) {
            const ended = !held.slots.has(span.slot) || span.until < now || held.validUntil <= now;
            if (span.pool === pool && ended) {
                closeSpan(spanKey, now);
            }
        }
        for (const slot of held.validUntil > now ? held.slots : []) {
            const spanKey = `${pool}/${slot}`;
            const span = openSpans.get(spanKey);
            if (span === undefined) {
                openSpans.set(spanKey, { pool, slot, from: now, until: held.validUntil });
            }
            else {
                span.until = held.validUntil;
            }
        }
    };

    const answerGrant = (grant: Grant): GrantAnswer => {
        const { held, refusal } = takeGrant(grants.get(grant.pool), grant, incarnation);
        if (held !== undefined && refusal === undefined) {
            grants.set(grant.pool, held);
            recordSpans(grant.pool, held);
        }
        return {
            accepted: refusal === undefined,
            ...(refusal === undefined ? {} : { refusal }),
            clock: clock(),
            incarnation,
            revision: held?.revision ?? 0,
            ...releasingOf(held, [...running].filter(entry => entry.pool === grant.pool)),
        };
    };

    const fenceRefusal = (request: IncomingMessage, key: string): TargetRefusal | undefined => {
        if (!options.byKey || !options.checksGrants) {
            return undefined;
        }
        const held = grants.get(headerOf(request, targetRequestHeaders.pool));
        const revision = Number(headerOf(request, targetRequestHeaders.revision));
        return requestRefusal(held, { revision, slot: slotHash(key, slotCount), key }, clock());
    };

    const startNext = (): void => {
        if (running.size < options.concurrency) {
            waiting.shift()?.start();
        }
    };

    const run = (request: IncomingMessage, response: ServerResponse, key: string, body: string): void => {
        const requestId = headerOf(request, targetRequestHeaders.requestId);
        const life = incarnation;
        const refusal = fenceRefusal(request, key);
        if (refusal !== undefined) {
            refuse(request, response, refusal);
            startNext();
            return;
        }
        if (poisonedKey !== undefined && key === poisonedKey) {
            void crash();
            return;
        }
        const entry: Running = {
            pool: headerOf(request, targetRequestHeaders.pool),
            slot: slotHash(key, slotCount),
            key,
        };
        running.add(entry);
        const idempotencyKey = headerOf(request, targetRequestHeaders.idempotencyKey);
        executions.push({ requestId, idempotencyKey, key, startedAt: clock(), incarnation: life });
        const cold = clock() - startedAt < (options.coldMilliseconds ?? 0) ? options.coldFactor ?? 3 : 1;
        setTimeout(() =>
            unlessFrozen(() => {
                if (life !== incarnation) {
                    return;
                }
                running.delete(entry);
                const text = JSON.stringify({ target: options.name, key, requestId, path: request.url, echo: body });
                answer(response, 200, text, {
                    [targetAnswerHeaders.requestId]: requestId,
                    [targetAnswerHeaders.outcome]: "ran",
                });
                startNext();
            }), options.serviceMilliseconds * cold);
    };

    const admit = (request: IncomingMessage, response: ServerResponse, body: string): void => {
        const key = headerOf(request, targetRequestHeaders.key);
        if (draining) {
            refuse(request, response, targetRefusals.draining);
            return;
        }
        if (shedding || waiting.length >= (options.queueLength ?? 32)) {
            refuse(request, response, targetRefusals.shed);
            return;
        }
        if (running.size < options.concurrency) {
            run(request, response, key, body);
            return;
        }
        const entry: Waiting = { request, start: () => run(request, response, key, body) };
        waiting.push(entry);
        const deadline = Number(headerOf(request, targetRequestHeaders.deadline)) || 30_000;
        const timer = setTimeout(() => {
            if (waiting.includes(entry)) {
                waiting = waiting.filter(other => other !== entry);
                refuse(request, response, targetRefusals.deadline);
            }
        }, deadline);
        response.once("close", () => clearTimeout(timer));
    };

    const laggedView = (): { state: string; running: number; queued: number } => {
        const state = draining ? targetStates.draining : targetStates.ready;
        const now = clock();
        lagged.push({ at: now, state, running: running.size, queued: waiting.length });
        const old = lagged.filter(view => view.at <= now - (options.lagMilliseconds ?? 0));
        const view = old.at(-1) ?? lagged[0];
        lagged = lagged.slice(-200);
        return { state: view.state, running: view.running, queued: view.queued };
    };

    const serveOwnPath = (url: string, request: IncomingMessage, response: ServerResponse, body: string): boolean => {
        if (url === targetPaths.grants) {
            const grant = grantSchema.safeParse(JSON.parse(body));
            if (!grant.success) {
                answer(response, 400, JSON.stringify({ message: grant.error.message }));
                return true;
            }
            const result = answerGrant(grant.data);
            answer(response, result.accepted ? 200 : 409, JSON.stringify(result));
            return true;
        }
        if (url === targetPaths.health) {
            answer(response, 200, JSON.stringify({ state: laggedView().state, clock: clock(), incarnation }));
            return true;
        }
        if (url === targetPaths.load) {
            const view = laggedView();
            answer(response, 200, JSON.stringify({ running: view.running, queued: view.queued }));
            return true;
        }
        if (url.startsWith(`${targetPaths.requests}/`) && request.method === "DELETE") {
            const requestId = url.slice(targetPaths.requests.length + 1);
            const held = waiting.length;
            waiting = waiting.filter(entry => headerOf(entry.request, targetRequestHeaders.requestId) !== requestId);
            answer(response, 200, JSON.stringify({ cancelled: waiting.length < held }));
            return true;
        }
        return false;
    };

    const serve = (request: IncomingMessage, response: ServerResponse): void => {
        const parts: Buffer[] = [];
        request.on("data", (part: Buffer) => parts.push(part));
        request.on("error", () => undefined);
        request.on("end", () =>
            unlessFrozen(() => {
                const body = Buffer.concat(parts).toString("utf8");
                if (!serveOwnPath(request.url ?? "/", request, response, body)) {
                    admit(request, response, body);
                }
            }));
    };

    const open = async (): Promise<void> => {
        incarnation = randomUUID();
        startedAt = clock();
        grants = new Map();
        running = new Set();
        waiting = [];
        draining = false;
        lagged = [];
        server = createServer({ keepAliveTimeout: 60_000 }, serve);
        let connections = 0;
        server.on("connection", socket => {
            connections += 1;
            peakConnections = Math.max(peakConnections, connections);
            if (connections > options.connections) {
                socket.destroy();
            }
            socket.once("close", () => {
                connections -= 1;
            });
        });
        await new Promise<void>(resolve => server.listen(port, "127.0.0.1", resolve));
        port = (server.address() as AddressInfo).port;
    };

    const shut = (): Promise<void> =>
        new Promise(resolve => {
            server.close(() => resolve());
            server.closeAllConnections();
        });

    const crash = async (): Promise<void> => {
        const now = clock();
        for (const spanKey of [...openSpans.keys()]) {
            closeSpan(spanKey, now);
        }
        openSpans = new Map();
        incarnation = "";
        frozen = undefined;
        await shut();
    };

    await open();
    return {
        name: options.name,
        address: `127.0.0.1:${port}`,
        executions,
        ownedSpans: () => [...closedSpans, ...openSpans.values()],
        refusals,
        peakConnections: () => peakConnections,
        freeze: () => {
            frozen ??= [];
        },
        thaw: () => {
            const held = frozen ?? [];
            frozen = undefined;
            for (const work of held) {
                work();
            }
        },
        crash,
        restart: open,
        drain: () => {
            draining = true;
        },
        shed: active => {
            shedding = active;
        },
        poisonKey: key => {
            poisonedKey = key;
        },
        close: shut,
    };
};
