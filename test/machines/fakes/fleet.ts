/**
 * A fleet in virtual time. It runs the real ownership tasks on several hosts with fake targets, links and platform, and
 * observes at every step which targets own each slot.
 */
import type { Assignment } from "../../../src/contracts/assignment.ts";
import type { Message, MessageKind } from "../../../src/contracts/messages.ts";
import { type Pool, poolSchema } from "../../../src/contracts/pool.ts";
import { settingsSchema } from "../../../src/contracts/settings.ts";
import { createSlotHash } from "../../../src/decisions/hash.ts";
import { createRevisionTracker, type RevisionTracker } from "../../../src/decisions/revisiontracker.ts";
import type { MessageHandler } from "../../../src/links/hosts.ts";
import { silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import { createObjectView, type ObjectView } from "../../../src/machines/objects.ts";
import { createOwnership, type Ownership } from "../../../src/machines/ownership.ts";
import type { Peers } from "../../../src/machines/peers.ts";
import type { TargetView, TargetViews } from "../../../src/machines/target.ts";
import { createPausableClock, createVirtualClock, type PausableClock, type VirtualClock } from "./clock.ts";
import { createFakePlatform, type FakePlatform } from "./platform.ts";
import { createFakeTarget, type FakeTarget } from "./target.ts";

export type FakeHost = {
    name: string;
    clock: PausableClock;
    objects: ObjectView;
    revisionTracker: RevisionTracker;
    ownership: Ownership;
    /** Number of requests that the host reports as unfinished, under any revision. */
    unfinished: { count: number };
    isAlive: () => boolean;
    kill: () => void;
};

export type FakeFleet = {
    clock: VirtualClock;
    platform: FakePlatform;
    targets: FakeTarget[];
    hosts: FakeHost[];
    /** Cuts or restores the connection of a host to another host, to a target, or to `platform`. */
    cut: (left: string, right: string, isCut: boolean) => void;
    /** Advances in steps and observes the slots after each of them. */
    observe: (milliseconds: number) => Promise<Observation>;
    /** Starts a host. One that has the name of a former host replaces it. */
    addHost: (name: string, zone: string) => Promise<void>;
    writePool: (targets: FakeTarget[], changes?: Partial<Pool>) => void;
    assignment: () => Assignment;
    coordinator: () => FakeHost;
    /** The target that owns the most slots by the assignment. */
    busiestTarget: () => FakeTarget;
};

export type Observation = {
    /** Longest time for which a slot was owned by no running target. */
    unservedMilliseconds: number;
    /** Highest number of targets that owned one slot at the same time. */
    owners: number;
};

export const poolName = "orders";
const slotCount = 64;
const stepMilliseconds = 5;
/** Time that a message takes in one direction. */
const networkMilliseconds = 1;
const followMilliseconds = 250;
const settleMilliseconds = 4_000;

/** Starts hosts in three zones and targets, and lets them settle for `settleMilliseconds`. */
export const createFakeFleet = async (
    hostCount: number,
    targetCount: number,
    checksGrants = true,
): Promise<FakeFleet> => {
    const clock = createVirtualClock();
    const platform = createFakePlatform(clock);
    const slotHash = await createSlotHash();
    const hosts: FakeHost[] = [];
    const cuts = new Set<string>();
    const handlersOf = new Map<string, Map<MessageKind, MessageHandler<MessageKind>>>();
    const { ownership: settings } = settingsSchema.parse({
        host: { name: "any", zone: "any" },
        platform: { url: "http://127.0.0.1:1" },
    });

    const isCut = (left: string, right: string): boolean => cuts.has([left, right].sort().join(" "));
    const hostNamed = (name: string): FakeHost | undefined => hosts.find(host => host.name === name && host.isAlive());

    /** Delivers a message over the network. A paused receiver handles it when it is resumed. */
    const deliver = (from: string, to: string, handle: (receiver: FakeHost) => void): void => {
        clock.after(networkMilliseconds, () => {
            const receiver = hostNamed(to);
            if (receiver !== undefined && !isCut(from, to)) {
                receiver.clock.after(0, () => handle(receiver));
            }
        });
    };

    const linksOf = (name: string, hostClock: PausableClock): Peers => {
        const handlers = new Map<MessageKind, MessageHandler<MessageKind>>();
        handlersOf.set(name, handlers);
        const handleAt = async (to: string, message: Message): Promise<Message | undefined> =>
            handlersOf.get(to)?.get(message.kind)?.(name, structuredClone(message));
        return {
            connected: () => hosts.filter(host => host.name !== name && host.isAlive()).map(host => host.name),
            tell: (to, message) => {
                deliver(name, to, () => void handleAt(to, message));
                return true;
            },
            ask: (to, message, timeoutMilliseconds) =>
                new Promise(resolve => {
                    hostClock.after(timeoutMilliseconds, () => resolve(undefined));
                    deliver(
                        name,
                        to,
                        () => void handleAt(to, message).then(answer => deliver(to, name, () => resolve(answer))),
                    );
                }),
            handle: (kind, handler) => {
                handlers.set(kind, handler as unknown as MessageHandler<MessageKind>);
            },
        };
    };

    const targets = [...Array(targetCount).keys()].map(index => createFakeTarget(`target-${index + 1}`, clock));

    const viewsOf = (name: string, hostClock: PausableClock): TargetViews => {
        const views = new Map<string, TargetView>();
        return {
            of: (pool, target) => {
                const fake = targets.find(known => known.target.name === target.name);
                const view = views.get(target.name) ?? {
                    pool,
                    target,
                    link: fake!.linkOf(hostClock, () => isCut(name, target.name)),
                    incarnation: undefined,
                    clockReading: 0,
                    outstanding: 0,
                    grantedRevision: 0,
                    lastAnswerAt: undefined,
                    failures: 0,
                    failingSince: undefined,
                    drainingRefusalAt: undefined,
                    state: "ready",
                    probe: { unansweredSince: undefined, failures: 0, answerMilliseconds: 0 },
                    reportedQueueRatio: undefined,
                };
                views.set(target.name, view);
                return view;
            },
            close: () => Promise.resolve(),
        };
    };

    /** Reads the platform's objects at intervals, in place of the fleet module. */
    const follow = async (host: FakeHost, link: ReturnType<FakePlatform["linkOf"]>, signal: AbortSignal) => {
        let position = 0;
        while (!signal.aborted) {
            const sentAt = host.clock.now();
            const page = await link.list(position, signal).catch(() => undefined);
            page?.items.forEach(item => host.objects.accept(item));
            position = page?.position ?? position;
            const assignment = host.objects.get("assignments", poolName)?.value;
            if (page !== undefined && assignment !== undefined) {
                host.revisionTracker.confirm(poolName, assignment.revision, sentAt, settings.freshnessMilliseconds);
            }
            await host.clock.sleep(followMilliseconds, signal);
        }
    };

    let startedHosts = 0;
    const addHost = async (name: string, zone: string): Promise<void> => {
        const abortController = new AbortController();
        const hostClock = createPausableClock(clock);
        const link = platform.linkOf(hostClock, () => isCut(name, "platform"));
        const objects = createObjectView();
        const revisionTracker = createRevisionTracker();
        const views = viewsOf(name, hostClock);
        startedHosts += 1;
        const incarnation = `start-${startedHosts}`;
        const former = hosts.findIndex(host => host.name === name);
        if (former >= 0) {
            hosts.splice(former, 1);
        }
        const unfinished = { count: 0 };
        const ownership = createOwnership({
            host: name,
            incarnation,
            platform: link,
            objects,
            views,
            revisionTracker,
            links: linksOf(name, hostClock),
            slotHash,
            settings,
            longestDeadlineMilliseconds: 2_000,
            unfinishedBelow: () => unfinished.count,
            clock: hostClock,
            log: silentLog,
            metrics: createMetrics(),
            signal: abortController.signal,
        });
        const { signal } = abortController;
        const host: FakeHost = {
            name,
            clock: hostClock,
            objects,
            revisionTracker,
            ownership,
            unfinished,
            isAlive: () => !signal.aborted,
            kill: () => abortController.abort(),
        };
        hosts.push(host);
        const addresses = { peerAddress: "127.0.0.1:1", operatorAddress: "127.0.0.1:2" };
        platform.write("status", name, { zone, incarnation, ...addresses, size: 1, state: "live" });
        void follow(host, link, signal);
    };

    const writePool = (list: FakeTarget[], changes: Partial<Pool> = {}): void => {
        platform.write("pools", poolName, {
            ...poolSchema.parse({
                customer: "hallam",
                division: "by-key",
                checksGrants,
                slotCount,
                targets: list.map(fake => fake.target),
                routes: [{ name: "main", method: "*", path: "/", kind: "idempotent" }],
            }),
            ...changes,
        });
    };

    const observe = async (milliseconds: number): Promise<Observation> => {
        const servedAt = new Array<number>(slotCount).fill(clock.now());
        const observed: Observation = { unservedMilliseconds: 0, owners: 0 };
        const end = clock.now() + milliseconds;
        while (clock.now() < end) {
            await clock.advance(stepMilliseconds);
            for (let slot = 0; slot < slotCount; slot += 1) {
                const owners = targets.filter(target => target.owns(slot));
                observed.owners = Math.max(observed.owners, owners.length);
                if (owners.some(owner => owner.isRunning())) {
                    servedAt[slot] = clock.now();
                }
                observed.unservedMilliseconds = Math.max(observed.unservedMilliseconds, clock.now() - servedAt[slot]);
            }
        }
        return observed;
    };

    const assignment = (): Assignment => platform.read("assignments", poolName) as Assignment;

    writePool(targets);
    for (let index = 0; index < hostCount; index += 1) {
        await addHost(`host-${index + 1}`, `zone-${index % 3}`);
    }
    await clock.advance(settleMilliseconds);

    return {
        clock,
        platform,
        targets,
        hosts,
        cut: (left, right, cutNow) => {
            const connection = [left, right].sort().join(" ");
            if (cutNow) {
                cuts.add(connection);
            }
            else {
                cuts.delete(connection);
            }
        },
        observe,
        addHost,
        writePool,
        assignment,
        coordinator: () => {
            const lease = platform.read("leases", `coordinator-${poolName}`) as { holder: string };
            return hostNamed(lease.holder) ?? hosts[0];
        },
        busiestTarget: () => {
            const { owners, targets: names } = assignment();
            const counts = [...names.keys()].map(index => owners.filter(owner => owner === index).length);
            const name = names[counts.indexOf(Math.max(...counts))];
            return targets.find(target => target.target.name === name) ?? targets[0];
        },
    };
};
