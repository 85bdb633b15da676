/**
 * Gateways of many hosts in virtual time, with targets that count connections and reset those beyond their limit. Each
 * host learns of the requests of the others a while later, as the readers tell it.
 */
import { setMaxListeners } from "node:events";
import { createRandom } from "../../../bench/random.ts";
import type { ResidentRequest, TargetProtocol } from "../../../src/contracts/resident.ts";
import type { RegisteredTarget, RouteTable } from "../../../src/contracts/routing.ts";
import { createRouteIndex } from "../../../src/decisions/routetable.ts";
import type { SharingHosts } from "../../../src/decisions/targetroom.ts";
import type { CallerAnswer } from "../../../src/links/callers.ts";
import { createConnectionPool } from "../../../src/links/connectionpool.ts";
import type { AnswerReceiver, createExchangeLink } from "../../../src/links/exchange.ts";
import { silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import type { PeerConnection, PeerDialer, PeerService } from "../../../src/links/peers.ts";
import { createGateway } from "../../../src/machines/resident/gateway.ts";
import { createLoans } from "../../../src/machines/resident/loans.ts";
import { createOwnershipCache } from "../../../src/machines/resident/ownershipcache.ts";
import type { TargetRegistry } from "../../../src/machines/resident/targetregistry.ts";
import { createTargetStates, type TargetStates } from "../../../src/machines/resident/targetstates.ts";
import type { VirtualClock } from "../fakes/clock.ts";
import { noLimits, noNotices } from "./nonotices.ts";
import { noSuspicions } from "./nosuspicions.ts";

export type PlayOptions = {
    clock: VirtualClock;
    targets: number;
    slots: number;
    /** Requests that wait at a target; it sheds further ones. */
    queue: number;
    /** Connections that a target accepts. */
    accepted: number;
    workMilliseconds: () => number;
    isSharded: boolean;
    objectiveMilliseconds: number;
    timeoutMilliseconds: number;
    random: () => number;
};

export type VirtualTarget = { name: string; open: number; mostOpen: number; resets: number; running: number };

export type VirtualHost = {
    states: TargetStates;
    /** What the host knows of the hosts; undefined when it knows of none. */
    know: (hosts: SharingHosts | undefined) => void;
    /** Cuts the host off from those of other groups: it learns of no requests of theirs. All start in group 0. */
    moveTo: (group: number) => void;
    serve: (key?: number) => Promise<CallerAnswer>;
    request: (key?: number) => ResidentRequest;
    serveRequest: (request: ResidentRequest) => Promise<CallerAnswer>;
};

/** Delay until all hosts know of a request that one of them has sent. */
const toldMilliseconds = 150;
const networkMilliseconds = 1;
/** After this time without a request, a connection closes. */
const idleMilliseconds = 4_000;
const keys = 65_536;

const protocol: TargetProtocol = {
    buildRequestHeaders: ({ id }) => ["id", id],
    readAnswer: (statusCode, { id, running, waiting }) => ({
        outcome: statusCode === 503 ? "not-run" : "answered",
        requestId: String(id),
        load: { running: Number(running), waiting: Number(waiting) },
        notice: undefined,
    }),
    buildAnswerHeaders: () => ({}),
    buildCheckHeaders: () => [],
    isAnswerOf: () => true,
};

type Connection = { isOpen: boolean; cancelIdle: () => void };
type Job = { receiver: AnswerReceiver; id: string; done: () => void };

export const createVirtualHosts = (options: PlayOptions) => {
    const { clock, slots, queue, accepted, random } = options;
    const { signal } = new AbortController();
    setMaxListeners(0, signal);
    const registered: RegisteredTarget[] = Array.from({ length: options.targets }, (...[, index]) => ({
        name: `t${index}`,
        incarnation: "1",
        pool: "p",
        address: `t${index}`,
        zone: "z",
        slots,
        leaving: false,
        warmupMilliseconds: 0,
    }));
    const table: RouteTable = {
        version: 1,
        routes: [{
            name: "r",
            host: "h",
            prefix: "/",
            kind: "idempotent",
            timeoutMilliseconds: options.timeoutMilliseconds,
            objectiveMilliseconds: options.objectiveMilliseconds,
            priority: 1,
            maxAttempts: 2,
            shares: [{ pool: "p", weight: 1 }],
        }],
        pools: new Map([["p", {
            name: "p",
            maxConnections: accepted,
            isSharded: options.isSharded,
            coldKeysMilliseconds: 0,
        }]]),
        limits: { maxHeadBytes: 1, maxBodyBytes: 1, headTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
    };
    const index = createRouteIndex(table);
    const targets = new Map(registered.map(({ name }) => {
        const target: VirtualTarget = { name, open: 0, mostOpen: 0, resets: 0, running: 0 };
        const jobs: Job[] = [];
        const answer = ({ receiver, id, done }: Job, statusCode: number): void => {
            clock.after(networkMilliseconds, () => {
                receiver.onHead(statusCode, { id, running: String(target.running), waiting: String(jobs.length) });
                done();
                receiver.onEnd();
            });
        };
        const run = (job: Job): void => {
            target.running += 1;
            clock.after(options.workMilliseconds(), () => {
                target.running -= 1;
                answer(job, 200);
                const next = jobs.shift();
                if (next !== undefined) {
                    run(next);
                }
            });
        };
        const arrive = (job: Job): void => {
            if (target.running < slots) {
                run(job);
            }
            else if (jobs.length < queue) {
                jobs.push(job);
            }
            else {
                answer(job, 503);
            }
        };
        return [name, { target, arrive }];
    }));

    const openLink: typeof createExchangeLink = ({ address, connections, keptConnections }) => {
        const { target, arrive } = targets.get(address)!;
        const close = (connection: Connection): void => {
            connection.cancelIdle();
            target.open -= Number(connection.isOpen);
            connection.isOpen = false;
        };
        const pool = createConnectionPool<Connection>({
            open: () => ({ isOpen: false, cancelIdle: () => undefined }),
            close,
            destroy: close,
            limit: connections,
            kept: keptConnections,
        });
        const open = (connection: Connection): boolean => {
            connection.cancelIdle();
            if (!connection.isOpen && target.open >= accepted) {
                target.resets += 1;
                return false;
            }
            target.open += Number(!connection.isOpen);
            target.mostOpen = Math.max(target.mostOpen, target.open);
            connection.isOpen = true;
            return true;
        };
        return {
            send: ({ headers: [, id] }, receiver) => {
                const withdraw = pool.acquire(connection => {
                    clock.after(networkMilliseconds, () => {
                        const isOpen = open(connection);
                        if (!isOpen || !receiver.mayStart()) {
                            pool.release(connection, !isOpen);
                            receiver.onFailure("unsent", new Error("reset"));
                            return;
                        }
                        const done = (): void => {
                            connection.cancelIdle = clock.after(idleMilliseconds, () => close(connection));
                            pool.release(connection, false);
                        };
                        arrive({ receiver, id, done });
                    });
                });
                return {
                    resume: () => undefined,
                    abort: () => withdraw() && receiver.onFailure("unsent", new Error()),
                };
            },
            applyLimit: pool.applyLimit,
            close: pool.close,
        };
    };

    /** Requests at each target of the hosts of each group. */
    const told = new Map<number, Map<string, number>>();
    let lastId = 0;
    /** Of its own, so that asks for loans do not change the requests of a play. */
    const lendingRandom = createRandom(1);
    /** Services and groups of the hosts that others ask for loans. */
    const listening = new Map<string, { service: PeerService; group: () => number }>();

    /** Connects hosts of one group; what is sent to another one is lost. */
    const dialFrom = (group: () => number): PeerDialer => (address, ...[, listener]) => {
        const peer = listening.get(address)!;
        let isOpen = false;
        const connectionTo = (receive: (value: unknown) => void): PeerConnection => ({
            send: value => clock.after(networkMilliseconds, () => group() === peer.group() && receive(value)),
            sendFrame: () => undefined,
            isOpen: () => isOpen,
            queuedBytes: () => 0,
            close: () => {
                isOpen = false;
                clock.after(0, listener.onClose);
            },
        });
        const accepted = peer.service(connectionTo(listener.onFrame));
        clock.after(networkMilliseconds, () => {
            isOpen = true;
            listener.onOpen?.();
        });
        return connectionTo(accepted.onFrame);
    };

    const add = (counts: Map<string, number>, target: string, change: number): void => {
        counts.set(target, (counts.get(target) ?? 0) + change);
    };

    const toldOf = (group: number): Map<string, number> => {
        const known = told.get(group) ?? new Map<string, number>();
        told.set(group, known);
        return known;
    };

    const start = (first: SharingHosts | undefined, firstGroup = 0): VirtualHost => {
        let hosts = first;
        let inGroup = firstGroup;
        let groupTold = toldOf(firstGroup);
        const self = `h${listening.size}`;
        const own = new Map<string, number>();
        const ownTold = new Map<string, number>();
        const recordOwnRequests = (target: string, requests: number): void => {
            const change = requests - (own.get(target) ?? 0);
            own.set(target, requests);
            clock.after(toldMilliseconds, () => {
                add(groupTold, target, change);
                add(ownTold, target, change);
            });
        };
        const requestsOfOthers = (target: string): number => (groupTold.get(target) ?? 0) - (ownTold.get(target) ?? 0);
        const registry: Pick<TargetRegistry, "onChange" | "wasListed"> = {
            onChange: listener => registered.forEach(target => listener(target, false)),
            wasListed: () => false,
        };
        const loans = createLoans({
            others: () =>
                [...listening.keys()].filter(name => name !== self)
                    .map(name => ({ name, address: name, zone: "z", processor: 1 })),
            grant: (target, asked) => states.grantConnections(target, asked),
            isWithinPart: target => states.isWithinPart(target),
            onChange: target => states.applyLimit(target),
            dial: dialFrom(() => inGroup),
            random: lendingRandom.uniform,
            clock,
            log: silentLog,
            metrics: createMetrics(),
            signal,
        });
        listening.set(self, { service: loans.service, group: () => inGroup });
        const states: TargetStates = createTargetStates({
            registry: registry as TargetRegistry,
            findPool: name => table.pools.get(name),
            sharingHosts: () => hosts,
            requestsOfOthers,
            recordOwnRequests,
            loans,
            openLink,
            clock,
            signal,
        });
        const ownerships = createOwnershipCache(clock, silentLog, signal);
        const size = keys / options.targets;
        const ranges = registered.map(({ name, incarnation }, number) => ({
            from: Math.ceil(number * size),
            to: Math.ceil((number + 1) * size) - 1,
            owner: { target: name, incarnation },
            fence: 1,
            predecessors: [],
        }));
        if (options.isSharded) {
            ownerships.put({ name: "p", revision: 1, value: { term: 1, coordinator: "c/1", nextFence: 2, ranges } });
        }
        const gateway = createGateway({
            routeTable: { current: () => ({ table, index }), onChange: () => undefined, put: () => undefined },
            targetStates: states,
            ownerships,
            protocol,
            suspicions: noSuspicions,
            notices: noNotices,
            limits: noLimits,
            zone: "z",
            retryRatio: 0.2,
            retrySlack: () => 1,
            recordKey: () => undefined,
            recordWork: () => undefined,
            requestsOfOthers,
            random,
            clock,
            log: silentLog,
            metrics: createMetrics(),
        });
        const request = (key = Math.floor(random() * keys)): ResidentRequest => {
            lastId += 1;
            return {
                id: String(lastId),
                method: "GET",
                host: "h",
                path: "/x",
                headers: {},
                body: undefined,
                key,
                receivedAt: clock.now(),
                deadlineAt: clock.now() + options.timeoutMilliseconds,
                callerAddress: "10.9.0.1",
                hangUp: { happened: false, listener: undefined },
            };
        };
        return {
            states,
            know: next => {
                hosts = next;
                states.applyLimits();
            },
            moveTo: group => {
                ownTold.forEach((requests, target) => add(groupTold, target, -requests));
                inGroup = group;
                groupTold = toldOf(group);
                ownTold.forEach((requests, target) => add(groupTold, target, requests));
            },
            request,
            serveRequest: gateway.serve,
            serve: key => gateway.serve(request(key)),
        };
    };
    return { targets: [...targets.values()].map(({ target }) => target), start };
};
