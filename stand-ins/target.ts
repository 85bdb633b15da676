/**
 * A small stand-in of a target: it takes grants and checks fences, runs a bounded number of requests at once, starts
 * cold, drains, sheds, obeys deadlines and cancellation, and reports health and load that lag or mislead. It can freeze
 * and thaw, crash and return. Its own records tell which requests ran and when it owned which slots.
 */
import { randomUUID } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { grantSchema } from "../src/contracts/grant.ts";
import {
    targetAnswerHeaders,
    type TargetLoad,
    targetPaths,
    type TargetRefusal,
    targetRefusals,
    targetRequestHeaders,
} from "../src/contracts/targetprotocol.ts";
import { createSlotHash } from "../src/decisions/hash.ts";
import { writeAnswer, writeExecutedAnswer } from "./answers.ts";
import { isControlPath, readBody, serveControl } from "./control.ts";
import { createGate, peerAddressOf } from "./gate.ts";
import { createGrantLedger, type GrantLedger, type OwnedSpan } from "./grants.ts";
import { createLaggedReports, type LaggedReports } from "./laggedreports.ts";
import { noTargetFaults, type TargetFaults, targetFaultsSchema } from "./targetfaults.ts";
import { createWorkQueue, type Execution, runOutcomes, type WorkQueue } from "./work.ts";

export type { OwnedSpan } from "./grants.ts";
export type { Execution } from "./work.ts";

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
    /** Waiting requests beyond which new ones are shed. */
    queueLength?: number;
    /** Faults from the start. */
    faults?: Partial<TargetFaults>;
};

/** What a target's own records tell. */
export type TargetRecords = {
    name: string;
    executions: Execution[];
    spans: OwnedSpan[];
    refusals: Record<string, number>;
    peakConnections: number;
    /** Calls of grants, health and load, and their bytes both ways, heads included. */
    control: { calls: number; bytes: number };
};

export type TargetStandIn = {
    name: string;
    address: string;
    executions: Execution[];
    /** Spans of ownership so far, those that are open included. */
    ownedSpans: () => OwnedSpan[];
    refusals: Record<string, number>;
    records: () => TargetRecords;
    /** The faults in force. Those of single answers count down. */
    faults: () => TargetFaults;
    /** Changes the named faults and leaves the others. */
    changeFaults: (faults: Partial<TargetFaults>) => Promise<void>;
    freeze: () => void;
    thaw: () => void;
    /** Drops all connections and state at once. */
    crash: () => Promise<void>;
    /** Starts again at the same address, as a new incarnation. */
    restart: () => Promise<void>;
    drain: () => void;
    close: () => Promise<void>;
};

type Life = { incarnation: string; views: LaggedReports; grants: GrantLedger; work: WorkQueue };

const controlPrefix = "/target/";
const defaultQueueLength = 32;
const defaultDeadlineMilliseconds = 30_000;
const shedBackOffMilliseconds = 100;

/** Milliseconds of the machine's monotonic clock, the same in every process. */
export const monotonicMilliseconds = (): number => Number(process.hrtime.bigint() / 1_000n) / 1_000;

const headerOf = (request: IncomingMessage, name: string): string => String(request.headers[name] ?? "");

/** Starts the stand-in on loopback. */
export const createTargetStandIn = async (options: TargetStandInOptions): Promise<TargetStandIn> => {
    const slotHash = await createSlotHash();
    const slotCount = options.slotCount ?? 1_024;
    const clock = monotonicMilliseconds;
    const executions: Execution[] = [];
    const spans: OwnedSpan[] = [];
    const refusals: Record<string, number> = {};
    const faults: TargetFaults = { ...noTargetFaults, ...options.faults };
    const control = { calls: 0, bytes: 0 };
    let peakConnections = 0;
    let port = options.port ?? 0;
    let server: Server;
    let life: Life;

    const way = createGate(peer => faults.frozen || faults.cutFrom.includes(peer));

    const ownHeaders = (): Record<string, string> => ({
        [targetAnswerHeaders.clock]: String(clock()),
        [targetAnswerHeaders.incarnation]: life.incarnation,
        [targetAnswerHeaders.load]: String(Math.round((life.work.running() + life.work.queued()) * faults.loadFactor)),
    });

    /** Calls back after the way through the network, unless the connection is gone. */
    const afterNetwork = (response: ServerResponse, send: () => void): void => {
        const unlessGone = (): void => {
            if (!response.destroyed) {
                send();
            }
        };
        const peer = peerAddressOf(response.req);
        if (faults.networkMilliseconds === 0) {
            way.runWhenOpen(unlessGone, peer);
            return;
        }
        setTimeout(() => way.runWhenOpen(unlessGone, peer), faults.networkMilliseconds);
    };

    const answer = (response: ServerResponse, statusCode: number, body: unknown, headers = {}): void => {
        const made = { statusCode, body: JSON.stringify(body), headers: { ...ownHeaders(), ...headers } };
        afterNetwork(response, () => writeAnswer(response, made));
    };

    const refuse = (request: IncomingMessage, response: ServerResponse, refusal: TargetRefusal): void => {
        refusals[refusal] = (refusals[refusal] ?? 0) + 1;
        answer(response, 503, { refusal }, {
            [targetAnswerHeaders.requestId]: headerOf(request, targetRequestHeaders.requestId),
            [targetAnswerHeaders.outcome]: "not-run",
            [targetAnswerHeaders.refusal]: refusal,
            [targetAnswerHeaders.backOff]: refusal === targetRefusals.shed ? String(shedBackOffMilliseconds) : "0",
        });
    };

    const answerRan = (request: IncomingMessage, response: ServerResponse, run: Execution, body: string): void => {
        const text = { target: options.name, key: run.key, requestId: run.requestId, path: request.url, echo: body };
        const headers = {
            ...ownHeaders(),
            [targetAnswerHeaders.requestId]: run.requestId,
            [targetAnswerHeaders.outcome]: "ran",
        };
        const made = { statusCode: 200, body: JSON.stringify(text), headers };
        afterNetwork(response, () => writeExecutedAnswer(response, made, faults));
    };

    const begin = (request: IncomingMessage, response: ServerResponse, body: string): () => void => {
        const own = life;
        const pool = headerOf(request, targetRequestHeaders.pool);
        const key = headerOf(request, targetRequestHeaders.key);
        const run: Execution = {
            requestId: headerOf(request, targetRequestHeaders.requestId),
            idempotencyKey: headerOf(request, targetRequestHeaders.idempotencyKey),
            pool,
            key,
            revision: Number(headerOf(request, targetRequestHeaders.revision)),
            startedAt: clock(),
            outcome: runOutcomes.running,
            incarnation: own.incarnation,
        };
        executions.push(run);
        const work = own.grants.begin(pool, key);
        if (faults.poisonKey !== "" && key === faults.poisonKey) {
            setImmediate(() => void change({ crashed: true }));
        }
        return () => {
            const entitled = own.grants.end(work);
            run.finishedAt = clock();
            if (checks && !entitled) {
                run.outcome = runOutcomes.rolledBack;
                refuse(request, response, targetRefusals.noGrant);
                return;
            }
            run.outcome = runOutcomes.ran;
            answerRan(request, response, run, body);
        };
    };

    const checks = options.byKey && options.checksGrants;

    const admit = (request: IncomingMessage, response: ServerResponse, body: string): void => {
        if (faults.draining || faults.shedding) {
            refuse(request, response, faults.draining ? targetRefusals.draining : targetRefusals.shed);
            return;
        }
        const pool = headerOf(request, targetRequestHeaders.pool);
        const key = headerOf(request, targetRequestHeaders.key);
        const revision = Number(headerOf(request, targetRequestHeaders.revision));
        life.work.add({
            requestId: headerOf(request, targetRequestHeaders.requestId),
            deadlineMilliseconds: Number(headerOf(request, targetRequestHeaders.deadline))
                || defaultDeadlineMilliseconds,
            refusal: () => checks ? life.grants.refusal(pool, revision, key) : undefined,
            begin: () => begin(request, response, body),
            refuse: refusal => refuse(request, response, refusal),
        });
    };

    const loadNow = (): TargetLoad => ({ running: life.work.running(), queued: life.work.queued() });

    const serveGrant = (response: ServerResponse, body: string): void => {
        const grant = grantSchema.safeParse(JSON.parse(body));
        if (!grant.success) {
            answer(response, 400, { message: grant.error.message });
            return;
        }
        const result = life.grants.take(grant.data);
        answer(response, result.accepted ? 200 : 409, result);
    };

    const countControl = (request: IncomingMessage, response: ServerResponse, body: string): void => {
        const writtenBefore = response.socket?.bytesWritten ?? 0;
        control.calls += 1;
        control.bytes += request.rawHeaders.join(": ").length + body.length;
        response.once("finish", () => {
            control.bytes += Math.max(0, (request.socket.bytesWritten ?? 0) - writtenBefore);
        });
    };

    const serve = (request: IncomingMessage, response: ServerResponse, body: string): void => {
        const path = request.url ?? "/";
        if (path.startsWith(controlPrefix)) {
            countControl(request, response, body);
        }
        if (path === targetPaths.grants) {
            serveGrant(response, body);
            return;
        }
        if (path === targetPaths.health) {
            const state = life.views.state(loadNow());
            answer(response, 200, { state, clock: clock(), incarnation: life.incarnation });
            return;
        }
        if (path === targetPaths.load) {
            answer(response, 200, life.views.load(loadNow()));
            return;
        }
        if (path.startsWith(`${targetPaths.requests}/`) && request.method === "DELETE") {
            answer(response, 200, { cancelled: life.work.cancel(path.slice(targetPaths.requests.length + 1)) });
            return;
        }
        admit(request, response, body);
    };

    const receive = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        if (isControlPath(request.url ?? "/")) {
            await serveControl(
                { faultsSchema: targetFaultsSchema.partial(), changeFaults: change, records },
                request,
                response,
            );
            return;
        }
        const body = await readBody(request);
        way.runWhenOpen(() => serve(request, response, body), peerAddressOf(request));
    };

    const createLife = (): Life => {
        const incarnation = randomUUID();
        const startedAt = clock();
        const warmth = (): number => clock() - startedAt < faults.coldMilliseconds ? faults.coldFactor : 1;
        return {
            incarnation,
            views: createLaggedReports(faults, clock),
            grants: createGrantLedger({ incarnation, slotCount, slotHash, clock, spans }),
            work: createWorkQueue({
                concurrency: options.concurrency,
                queueLength: options.queueLength ?? defaultQueueLength,
                serviceMilliseconds: () => options.serviceMilliseconds * faults.slowFactor * warmth(),
                runWhenThawed: way.runWhenOpen,
            }),
        };
    };

    const open = async (): Promise<void> => {
        life = createLife();
        let connections = 0;
        server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
            receive(request, response).catch(() => response.destroy());
        });
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

    const loseRunning = (): void => {
        for (const run of executions) {
            if (run.outcome === runOutcomes.running) {
                run.outcome = runOutcomes.lost;
                run.finishedAt = clock();
            }
        }
    };

    const crash = async (): Promise<void> => {
        life.grants.close();
        life.work.close();
        loseRunning();
        way.clear();
        await shut();
    };

    const change = async (changes: Partial<TargetFaults>): Promise<void> => {
        const wasCrashed = faults.crashed;
        Object.assign(faults, changes);
        if (faults.crashed && !wasCrashed) {
            await crash();
        }
        if (!faults.crashed && wasCrashed) {
            await open();
        }
        way.flush();
    };

    const records = (): TargetRecords => ({
        name: options.name,
        executions,
        spans,
        refusals,
        peakConnections,
        control,
    });

    await open();
    return {
        name: options.name,
        address: `127.0.0.1:${port}`,
        executions,
        ownedSpans: () => spans,
        refusals,
        records,
        faults: () => faults,
        changeFaults: change,
        freeze: () => void change({ frozen: true }),
        thaw: () => void change({ frozen: false }),
        crash: () => change({ crashed: true }),
        restart: () => change({ crashed: false }),
        drain: () => void change({ draining: true }),
        close: shut,
    };
};
