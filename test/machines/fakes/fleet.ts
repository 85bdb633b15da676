/**
 * A fleet in virtual time: the real tasks of ownership on several hosts, with fakes at every interface. It watches who
 * owns each slot at every step.
 */
import type { Assignment } from "../../../src/contracts/assignment.ts";
import type { Message, MessageKind } from "../../../src/contracts/messages.ts";
import { type Pool, poolSchema } from "../../../src/contracts/pool.ts";
import { settingsSchema } from "../../../src/contracts/settings.ts";
import { createCurrency, type Currency } from "../../../src/decisions/currency.ts";
import { createSlotHash } from "../../../src/decisions/hash.ts";
import type { MessageHandler } from "../../../src/links/hosts.ts";
import { silentLog } from "../../../src/links/logs.ts";
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
    currency: Currency;
    ownership: Ownership;
    /** Requests that the host says are not over. */
    unfinished: { count: number };
    isAlive: () => boolean;
    kill: () => void;
};

export type Fleet = {
    clock: VirtualClock;
    platform: FakePlatform;
    targets: FakeTarget[];
    hosts: FakeHost[];
    /** Cuts or mends the way between two of: a host, a target, `platform`. */
    cut: (left: string, right: string, isCut: boolean) => void;
    /** Advances in steps and watches: longest time for which a slot was unserved, and most owners of a slot at once. */
    watch: (milliseconds: number) => Promise<Watched>;
    addHost: (name: string, zone: string) => Promise<void>;
    writePool: (targets: FakeTarget[], changes?: Partial<Pool>) => void;
    assignment: () => Assignment;
    coordinator: () => FakeHost;
    /** The target that owns the most slots of the assignment, for a fault. */
    busiest: () => FakeTarget;
};

export type Watched = { unservedMilliseconds: number; owners: number };

export const poolName = "orders";
const slotCount = 64;
const stepMilliseconds = 5;
const networkMilliseconds = 1;
const followMilliseconds = 250;
const settleMilliseconds = 4_000;

/** Starts hosts in three zones over targets, and lets them settle. */
export const createFleet = async (hostCount: number, targetCount: number, checksGrants = true): Promise<Fleet> => {
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

    /** Passes a message over the network; the receiver handles it when it runs. */
    const pass = (from: string, to: string, work: (receiver: FakeHost) => void): void => {
        clock.after(networkMilliseconds, () => {
            const receiver = hostNamed(to);
            if (receiver !== undefined && !isCut(from, to)) {
                receiver.clock.after(0, () => work(receiver));
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
                pass(name, to, () => void handleAt(to, message));
                return true;
            },
            ask: (to, message, timeoutMilliseconds) =>
                new Promise(resolve => {
                    hostClock.after(timeoutMilliseconds, () => resolve(undefined));
                    pass(
                        name,
                        to,
                        () => void handleAt(to, message).then(answer => pass(to, name, () => resolve(answer))),
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

    const follow = async (host: FakeHost, link: ReturnType<FakePlatform["linkOf"]>, signal: AbortSignal) => {
        let position = 0;
        while (!signal.aborted) {
            const sentAt = host.clock.now();
            const page = await link.list(position, signal).catch(() => undefined);
            page?.items.forEach(item => host.objects.accept(item));
            position = page?.position ?? position;
            const assignment = host.objects.get("assignments", poolName)?.value;
            if (page !== undefined && assignment !== undefined) {
                host.currency.confirm(poolName, assignment.revision, sentAt, settings.freshnessMilliseconds);
            }
            await host.clock.sleep(followMilliseconds, signal);
        }
    };

    let starts = 0;
    const addHost = async (name: string, zone: string): Promise<void> => {
        const life = new AbortController();
        const hostClock = createPausableClock(clock);
        const link = platform.linkOf(hostClock, () => isCut(name, "platform"));
        const objects = createObjectView();
        const currency = createCurrency();
        const views = viewsOf(name, hostClock);
        starts += 1;
        const incarnation = `start-${starts}`;
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
            currency,
            links: linksOf(name, hostClock),
            slotHash,
            settings,
            longestDeadlineMilliseconds: 2_000,
            unfinishedBelow: () => unfinished.count,
            clock: hostClock,
            log: silentLog,
            signal: life.signal,
        });
        const { signal } = life;
        const host: FakeHost = {
            name,
            clock: hostClock,
            objects,
            currency,
            ownership,
            unfinished,
            isAlive: () => !signal.aborted,
            kill: () => life.abort(),
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

    const watch = async (milliseconds: number): Promise<Watched> => {
        const since = new Array<number>(slotCount).fill(clock.now());
        const watched: Watched = { unservedMilliseconds: 0, owners: 0 };
        const end = clock.now() + milliseconds;
        while (clock.now() < end) {
            await clock.advance(stepMilliseconds);
            for (let slot = 0; slot < slotCount; slot += 1) {
                const owners = targets.filter(target => target.owns(slot));
                watched.owners = Math.max(watched.owners, owners.length);
                if (owners.some(owner => owner.isRunning())) {
                    since[slot] = clock.now();
                }
                watched.unservedMilliseconds = Math.max(watched.unservedMilliseconds, clock.now() - since[slot]);
            }
        }
        return watched;
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
            const place = [left, right].sort().join(" ");
            if (cutNow) {
                cuts.add(place);
            }
            else {
                cuts.delete(place);
            }
        },
        watch,
        addHost,
        writePool,
        assignment,
        coordinator: () => {
            const lease = platform.read("leases", `coordinator-${poolName}`) as { holder: string };
            return hostNamed(lease.holder) ?? hosts[0];
        },
        busiest: () => {
            const { owners, targets: names } = assignment();
            const counts = [...names.keys()].map(index => owners.filter(owner => owner === index).length);
            const name = names[counts.indexOf(Math.max(...counts))];
            return targets.find(target => target.target.name === name) ?? targets[0];
        },
    };
};
