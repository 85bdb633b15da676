/**
 * A small stand-in of a target. It accepts grants and checks fences, runs a bounded number of requests at once, starts
 * cold, drains, sheds, and observes deadlines and cancellations. Its reports of health and load may lag or be wrong. It
 * can freeze and thaw, crash and restart. Its records show which requests ran and when it owned which slots.
 */
import { randomUUID } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { grantSchema } from "../src/contracts/grant.ts";
import {
    targetAnswerHeaders,
    type TargetLoadReport,
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
    /** Whether a request without a live grant of its key is refused, or rolled back if the grant ends while it runs. */
    checksGrants: boolean;
    /** Whether the pool is divided by key. Grants are checked only then. */
    byKey: boolean;
    slotCount?: number;
    /** Requests that run at the same time. */
    concurrency: number;
    /** Connections beyond which new ones are closed at once. */
    connections: number;
    /** Time that a request runs, before the factors of the faults. */
    serviceMilliseconds: number;
    /** Waiting requests beyond which new ones are shed. */
    queueLength?: number;
    /** Faults that apply from the start; the others are as in `noTargetFaults`. */
    faults?: Partial<TargetFaults>;
};

/** What a target has recorded of its requests and grants. */
export type TargetRecords = {
    name: string;
    executions: Execution[];
    spans: OwnedSpan[];
    refusals: Record<string, number>;
    peakConnections: number;
    /** Calls of grants, health, load and cancellations, and their bytes in both directions including heads. */
    control: { calls: number; bytes: number };
};

export type TargetStandIn = {
    name: string;
    address: string;
    executions: Execution[];
    /** Spans of ownership so far, including open ones. */
    ownedSpans: () => OwnedSpan[];
    refusals: Record<string, number>;
    records: () => TargetRecords;
    /** The current faults. The counts of malformed answers go down as the answers are sent. */
    faults: () => TargetFaults;
    /** Changes the given faults and leaves the others. */
    changeFaults: (faults: Partial<TargetFaults>) => Promise<void>;
    freeze: () => void;
    thaw: () => void;
    /** Closes all connections and drops all state at once. */
    crash: () => Promise<void>;
    /** Starts again at the same address as a new incarnation. */
    restart: () => Promise<void>;
    drain: () => void;
    close: () => Promise<void>;
};

/** What a crash loses. */
type IncarnationState = { incarnation: string; reports: LaggedReports; grants: GrantLedger; work: WorkQueue };

const targetProtocolPrefix = "/target/";
const defaultQueueLength = 32;
const defaultDeadlineMilliseconds = 30_000;
/** Back-off that the answer to a shed request asks for. */
const shedBackOffMilliseconds = 100;

/** Milliseconds of the machine's monotonic clock, which is the same in every process of the machine. */
export const monotonicMilliseconds = (): number => Number(process.hrtime.bigint() / 1_000n) / 1_000;

const headerOf = (request: IncomingMessage, name: string): string => String(request.headers[name] ?? "");

/** Starts the stand-in on loopback and resolves once it listens. */
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
    let current: IncarnationState;

    const gate = createGate(peer => faults.frozen || faults.cutFrom.includes(peer));

    /** The headers of every answer: the target's clock, incarnation and load. */
    const ownHeaders = (): Record<string, string> => ({
        [targetAnswerHeaders.clock]: String(clock()),
        [targetAnswerHeaders.incarnation]: current.incarnation,
        [targetAnswerHeaders.load]: String(
            Math.round((current.work.running() + current.work.queued()) * faults.loadFactor),
        ),
    });

    /** Sends after the network delay and the gate, unless the connection is closed by then. */
    const afterNetwork = (response: ServerResponse, send: () => void): void => {
        const sendIfOpen = (): void => {
            if (!response.destroyed) {
                send();
            }
        };
        const peer = peerAddressOf(response.req);
        if (faults.networkMilliseconds === 0) {
            gate.runWhenOpen(sendIfOpen, peer);
            return;
        }
        setTimeout(() => gate.runWhenOpen(sendIfOpen, peer), faults.networkMilliseconds);
    };

    const sendJson = (response: ServerResponse, statusCode: number, body: unknown, headers = {}): void => {
        const answer = { statusCode, body: JSON.stringify(body), headers: { ...ownHeaders(), ...headers } };
        afterNetwork(response, () => writeAnswer(response, answer));
    };

    /** Answers that the request did not run and counts the refusal. */
    const refuse = (request: IncomingMessage, response: ServerResponse, refusal: TargetRefusal): void => {
        refusals[refusal] = (refusals[refusal] ?? 0) + 1;
        sendJson(response, 503, { refusal }, {
            [targetAnswerHeaders.requestId]: headerOf(request, targetRequestHeaders.requestId),
            [targetAnswerHeaders.outcome]: "not-run",
            [targetAnswerHeaders.refusal]: refusal,
            [targetAnswerHeaders.backOff]: refusal === targetRefusals.shed ? String(shedBackOffMilliseconds) : "0",
        });
    };

    const sendExecuted = (request: IncomingMessage, response: ServerResponse, run: Execution, body: string): void => {
        const text = { target: options.name, key: run.key, requestId: run.requestId, path: request.url, echo: body };
        const headers = {
            ...ownHeaders(),
            [targetAnswerHeaders.requestId]: run.requestId,
            [targetAnswerHeaders.outcome]: "ran",
        };
        const answer = { statusCode: 200, body: JSON.stringify(text), headers };
        afterNetwork(response, () => writeExecutedAnswer(response, answer, faults));
    };

    /**
     * Starts to run a request and returns the function that ends it. Where grants are checked, a request whose grant
     * did not last until its end is rolled back and refused.
     */
    const begin = (request: IncomingMessage, response: ServerResponse, body: string): () => void => {
        const own = current;
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
            setImmediate(() => void changeFaults({ crashed: true }));
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
            sendExecuted(request, response, run, body);
        };
    };

    const checks = options.byKey && options.checksGrants;

    /** Queues a request, or refuses it when the target is draining or shedding. */
    const admit = (request: IncomingMessage, response: ServerResponse, body: string): void => {
        if (faults.draining || faults.shedding) {
            refuse(request, response, faults.draining ? targetRefusals.draining : targetRefusals.shed);
            return;
        }
        const pool = headerOf(request, targetRequestHeaders.pool);
        const key = headerOf(request, targetRequestHeaders.key);
        const revision = Number(headerOf(request, targetRequestHeaders.revision));
        current.work.add({
            requestId: headerOf(request, targetRequestHeaders.requestId),
            deadlineMilliseconds: Number(headerOf(request, targetRequestHeaders.deadline))
                || defaultDeadlineMilliseconds,
            refusal: () => checks ? current.grants.refusal(pool, revision, key) : undefined,
            begin: () => begin(request, response, body),
            refuse: refusal => refuse(request, response, refusal),
        });
    };

    const loadNow = (): TargetLoadReport => ({ running: current.work.running(), queued: current.work.queued() });

    const serveGrant = (response: ServerResponse, body: string): void => {
        const grant = grantSchema.safeParse(JSON.parse(body));
        if (!grant.success) {
            sendJson(response, 400, { message: grant.error.message });
            return;
        }
        const result = current.grants.take(grant.data);
        sendJson(response, result.accepted ? 200 : 409, result);
    };

    /** Counts a call of the target protocol and its bytes. */
    const countProtocolCall = (request: IncomingMessage, response: ServerResponse, body: string): void => {
        const writtenBefore = response.socket?.bytesWritten ?? 0;
        control.calls += 1;
        control.bytes += request.rawHeaders.join(": ").length + body.length;
        response.once("finish", () => {
            control.bytes += Math.max(0, (request.socket.bytesWritten ?? 0) - writtenBefore);
        });
    };

    const serve = (request: IncomingMessage, response: ServerResponse, body: string): void => {
        const path = request.url ?? "/";
        if (path.startsWith(targetProtocolPrefix)) {
            countProtocolCall(request, response, body);
        }
        if (path === targetPaths.grants) {
            serveGrant(response, body);
            return;
        }
        if (path === targetPaths.health) {
            const state = current.reports.state(loadNow());
            sendJson(response, 200, { state, clock: clock(), incarnation: current.incarnation });
            return;
        }
        if (path === targetPaths.load) {
            sendJson(response, 200, current.reports.load(loadNow()));
            return;
        }
        if (path.startsWith(`${targetPaths.requests}/`) && request.method === "DELETE") {
            sendJson(response, 200, { cancelled: current.work.cancel(path.slice(targetPaths.requests.length + 1)) });
            return;
        }
        admit(request, response, body);
    };

    const receive = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        if (isControlPath(request.url ?? "/")) {
            await serveControl(
                { faultsSchema: targetFaultsSchema.partial(), changeFaults, records },
                request,
                response,
            );
            return;
        }
        const body = await readBody(request);
        gate.runWhenOpen(() => serve(request, response, body), peerAddressOf(request));
    };

    /** Creates the state of a new incarnation. */
    const createIncarnation = (): IncarnationState => {
        const incarnation = randomUUID();
        const startedAt = clock();
        const coldFactor = (): number => clock() - startedAt < faults.coldMilliseconds ? faults.coldFactor : 1;
        return {
            incarnation,
            reports: createLaggedReports(faults, clock),
            grants: createGrantLedger({ incarnation, slotCount, slotHash, clock, spans }),
            work: createWorkQueue({
                concurrency: options.concurrency,
                queueLength: options.queueLength ?? defaultQueueLength,
                serviceMilliseconds: () => options.serviceMilliseconds * faults.slowFactor * coldFactor(),
                runWhenThawed: gate.runWhenOpen,
            }),
        };
    };

    /** Starts a new incarnation and listens. Closes connections beyond the limit. */
    const open = async (): Promise<void> => {
        current = createIncarnation();
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

    /** Records the requests that a crash interrupts. */
    const markRunningLost = (): void => {
        for (const run of executions) {
            if (run.outcome === runOutcomes.running) {
                run.outcome = runOutcomes.lost;
                run.finishedAt = clock();
            }
        }
    };

    const crash = async (): Promise<void> => {
        current.grants.close();
        current.work.close();
        markRunningLost();
        gate.clear();
        await shut();
    };

    const changeFaults = async (changes: Partial<TargetFaults>): Promise<void> => {
        const wasCrashed = faults.crashed;
        Object.assign(faults, changes);
        if (faults.crashed && !wasCrashed) {
            await crash();
        }
        if (!faults.crashed && wasCrashed) {
            await open();
        }
        gate.flush();
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
        changeFaults,
        freeze: () => void changeFaults({ frozen: true }),
        thaw: () => void changeFaults({ frozen: false }),
        crash: () => changeFaults({ crashed: true }),
        restart: () => changeFaults({ crashed: false }),
        drain: () => void changeFaults({ draining: true }),
        close: shut,
    };
};
