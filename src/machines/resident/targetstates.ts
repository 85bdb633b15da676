/**
 * The state of each target as this host observes it: its load, its failures and the connections to it.
 */
import type { Clock } from "../../contracts/clock.ts";
import type { ColdTargets, RegisteredTarget, TablePool } from "../../contracts/routing.ts";
import { type ColdBound, type ColdLimit, coldRate } from "../../decisions/coldlimit.ts";
import { descriptorParts } from "../../decisions/descriptors.ts";
import { createPace, type Pace } from "../../decisions/pace.ts";
import { grantedConnections, isLent, ownConnections } from "../../decisions/partlending.ts";
import { createTargetLoad, type TargetLoad } from "../../decisions/targetload.ts";
import type { TargetMeasure } from "../../decisions/targetmeasures.ts";
import { connectionPart, type SharingHosts, sparseLimit } from "../../decisions/targetroom.ts";
import type { Descriptors } from "../../links/descriptors.ts";
import { createExchangeLink, type ExchangeLink } from "../../links/exchange.ts";
import { createTargetConnectionLimit } from "../../links/targetconnections.ts";
import { digestHash } from "../../zones/digesthash.ts";
import { type ConnectionQueue, createConnectionQueue, placeOfPool, placeOfTarget } from "./connectionqueue.ts";
import type { Loans } from "./loans.ts";
import type { TargetRegistry } from "./targetregistry.ts";

/** What this host knows of one incarnation of a target. */
export type TargetState = {
    target: RegisteredTarget;
    load: TargetLoad;
    link: ExchangeLink;
    /** Share of recent requests that the target failed, from 0 to 1. */
    failureShare: number;
    /** Monotonic time before which nothing is sent to the target. */
    blockedUntil: number;
    /** Monotonic time before which the target, by its own word, wants no request from this host. */
    pausedUntil: number;
    /** Monotonic time before which the target's limit on all hosts leaves no room for a request without a key. */
    limitedUntil: number;
    /** Monotonic time at which the request was sent that the target answered last; of several, the latest. */
    answeredSentAt: number;
    /** Consecutive failures to connect. */
    connectFailures: number;
    /** Monotonic time until which the target is slow after its start, as its latest entry tells. */
    warmupEndsAt: number;
    /** Limit on the requests of all hosts after a start or a failure. */
    pace: Pace;
    /** Monotonic time of the last sign that the target may have started again, whatever its entry tells of a warm-up. */
    restartSuspectedAt: number;
    /** Set when the target was removed or replaced by another incarnation. */
    gone: boolean;
};

export type TargetStates = {
    ofPool: (pool: string) => TargetState[];
    get: (name: string) => TargetState | undefined;
    /**
     * Limit on the connections that this host may use at the target for a request that ends at the monotonic time: its
     * part of those that the target accepts, less those that are lent, and those that are borrowed until then.
     */
    maxConnections: (state: TargetState, endAt: number) => number;
    /** Records that a request waits for a connection, so that some are borrowed. */
    wantConnections: (state: TargetState) => void;
    /** Returns how many of the connections to the target that another host asks for it gets. */
    grantConnections: (target: string, asked: number) => number;
    /** Whether this host's requests at the target need no more than its part. */
    isWithinPart: (target: string) => boolean;
    /** Applies the limit on the connections to the target after some were lent, borrowed or given back. */
    applyLimit: (target: string) => void;
    /** Requests that wait for a connection to a target, or to any target of a pool. */
    connectionQueue: ConnectionQueue;
    /** Applies the limits on connections after the hosts or the pools have changed. */
    applyLimits: () => void;
    /** Records what was measured of the target since the last record, by this host or by others. */
    recordMeasure: (state: TargetState, measure: TargetMeasure) => void;
    recordFailure: (state: TargetState) => void;
    recordSuccess: (state: TargetState) => void;
    /** Records a failure to connect and blocks the target, each time for longer. The target may have restarted. */
    recordConnectFailure: (state: TargetState) => void;
    /** Records that a connection broke during a request: the target may have restarted. */
    recordConnectionLost: (state: TargetState) => void;
    /** Whether requests for cold targets of the pool are limited. */
    limitsColdTargets: (pool: string) => boolean;
    /** Returns the limit of the target while it is cold; undefined while it is not, or where cold targets have none. */
    coldLimit: (state: TargetState) => ColdLimit | undefined;
    /** Number of targets that have such a limit now. */
    coldCount: () => number;
    /** Sends nothing to the target for the given time. */
    block: (state: TargetState, milliseconds: number) => void;
};

export type TargetStatesOptions = {
    registry: TargetRegistry;
    findPool: (name: string) => TablePool | undefined;
    /** Returns the hosts that share the targets, as far as they are known. */
    sharingHosts: () => SharingHosts | undefined;
    /** Returns the requests of all other hosts at a target; undefined while they are not known. */
    requestsOfOthers: (target: string) => number | undefined;
    /** Called with the number of this host's requests at a target when it changes. */
    recordOwnRequests: (target: string, requests: number) => void;
    /** Connections that are lent to other hosts and borrowed from them. */
    loans?: Pick<Loans, "want" | "lent" | "borrowed">;
    /** Bound on the requests of all hosts for a cold target; without it, such targets have no limit of their own. */
    coldBound?: ColdBound | undefined;
    /** Called when a target whose requests are limited while it is cold may have become cold. */
    onCold?: (target: RegisteredTarget) => void;
    /** Counts and limits the connections to targets. */
    descriptors?: Descriptors;
    /** Creates the link to a target; by default one over HTTP. */
    openLink?: typeof createExchangeLink;
    clock: Clock;
    signal: AbortSignal;
};

/** Weight of the latest request in the share of failures, a moving average. */
const failureWeight = 0.15;
const firstBlockMilliseconds = 250;
const maxBlockMilliseconds = 2_000;
/** Time-out of connecting: an attempt that takes longer goes to a machine that is down or unreachable. */
const connectMilliseconds = 300;
const defaultMaxConnections = 100;
const hashRange = 2 ** 32;
/** The median of a pool changes slowly, and computing it with each answer costs much processor time. */
const medianValidMilliseconds = 200;

/** Creates the states and updates them when the registry changes. */
export const createTargetStates = (
    {
        registry,
        findPool,
        sharingHosts,
        requestsOfOthers,
        recordOwnRequests,
        loans,
        coldBound,
        onCold = () => undefined,
        descriptors,
        openLink = createExchangeLink,
        clock,
        signal,
    }: TargetStatesOptions,
): TargetStates => {
    const states = new Map<string, TargetState>();
    const addTargetConnections = descriptors && createTargetConnectionLimit(descriptors, descriptorParts.targets);
    const offsets = new WeakMap<TargetState, number>();
    const connectionQueue = createConnectionQueue(clock);

    const acceptedBy = ({ target }: TargetState): number =>
        findPool(target.pool)?.maxConnections ?? defaultMaxConnections;

    const offsetOf = (state: TargetState): number => {
        const offset = offsets.get(state) ?? digestHash(state.target.name, hashRange);
        offsets.set(state, offset);
        return offset;
    };

    const partOf = (state: TargetState): number => connectionPart(acceptedBy(state), offsetOf(state), sharingHosts());

    /** Returns the part less what is lent of it. */
    const ownPartOf = (state: TargetState): number =>
        ownConnections({
            part: partOf(state),
            lent: loans?.lent(state.target.name) ?? 0,
            mayHaveLent: sharingHosts()?.mayHaveLent === true,
        });

    const sparseLimitOf = (state: TargetState, hosts: SharingHosts | undefined, isCounted: boolean): number => {
        const { target: { name }, load } = state;
        const told = load.ownRequests() + (requestsOfOthers(name) ?? 0);
        // The target's own word includes hosts that are cut off from this one.
        const requests = Math.max(told, load.expectedRequests(clock.now()));
        return sparseLimit(acceptedBy(state), hosts, requests - Number(isCounted));
    };

    /** Returns the limit for a request that is counted already, or for one that is not. */
    const limitFor = (state: TargetState, isCounted: boolean, endAt: number): number => {
        return partOf(state) > 0
            ? ownPartOf(state) + (loans?.borrowed(state.target.name, endAt) ?? 0)
            : sparseLimitOf(state, sharingHosts(), isCounted);
    };

    const keptConnections = (state: TargetState): number =>
        partOf(state) === 0 ? 0 : limitFor(state, true, clock.now());

    /** One at least: nothing would start a request again that the link keeps waiting while it has no other one. */
    const linkConnections = (state: TargetState): number => Math.max(1, limitFor(state, true, clock.now()));

    const wake = ({ target: { name, pool } }: TargetState): void => {
        connectionQueue.wakeFirst(placeOfTarget(name));
        connectionQueue.wakeFirst(placeOfPool(pool));
    };

    const medians = new Map<string, { milliseconds: number | undefined; until: number }>();

    const medianMilliseconds = (pool: string): number | undefined => {
        const known = [...states.values()]
            .map(({ target, load }) => target.pool === pool ? load.serviceMilliseconds() : undefined)
            .filter(service => service !== undefined)
            .sort((left, right) => left - right);
        return known[known.length >> 1];
    };

    /** Returns the median service time of the pool's targets; undefined before the first answer. */
    const typicalMilliseconds = (pool: string): number | undefined => {
        const now = clock.now();
        const known = medians.get(pool);
        if (known !== undefined && now < known.until) {
            return known.milliseconds;
        }
        const milliseconds = medianMilliseconds(pool);
        medians.set(pool, { milliseconds, until: now + medianValidMilliseconds });
        return milliseconds;
    };

    const create = (target: RegisteredTarget): TargetState => {
        const isNew = registry.wasListed();
        let lastOwn = 0;
        const recordOwn = (own: number): void => {
            recordOwnRequests(target.name, own);
            const isFreed = own < lastOwn;
            lastOwn = own;
            if (isFreed) {
                wake(state);
            }
        };
        const state: TargetState = {
            target,
            load: createTargetLoad(target.slots, recordOwn),
            link: openLink({
                address: target.address,
                connections: () => linkConnections(state),
                keptConnections: () => keptConnections(state),
                connectMilliseconds,
                targetConnections: addTargetConnections?.(),
            }),
            failureShare: 0,
            blockedUntil: 0,
            pausedUntil: 0,
            limitedUntil: 0,
            answeredSentAt: -Infinity,
            connectFailures: 0,
            warmupEndsAt: clock.now() + target.warmupMilliseconds,
            // Its entry may have been written before it started again.
            restartSuspectedAt: isNew ? clock.now() : -Infinity,
            pace: createPace({
                slots: target.slots,
                typicalMilliseconds: () => typicalMilliseconds(target.pool),
            }),
            gone: false,
        };
        if (isNew || target.warmupMilliseconds > 0) {
            state.pace.start(clock.now());
        }
        return state;
    };

    const coldTargetsOf = (pool: string): ColdTargets | undefined =>
        coldBound === undefined ? undefined : findPool(pool)?.coldTargets;

    const coldLimit = (state: TargetState): ColdLimit | undefined => {
        const cold = coldTargetsOf(state.target.pool);
        if (coldBound === undefined || cold === undefined) {
            return undefined;
        }
        const until = Math.max(state.warmupEndsAt, state.restartSuspectedAt + cold.milliseconds);
        const milliseconds = until - clock.now();
        return milliseconds > 0 ? { perSecond: coldRate(cold, coldBound), milliseconds } : undefined;
    };

    const notifyIfCold = (state: TargetState): void => {
        if (coldLimit(state) !== undefined) {
            onCold(state.target);
        }
    };

    const suspectRestart = (state: TargetState): void => {
        state.restartSuspectedAt = clock.now();
        notifyIfCold(state);
    };

    const remove = (state: TargetState): void => {
        state.gone = true;
        states.delete(state.target.name);
        state.link.close();
    };

    registry.onChange((target, gone) => {
        const state = states.get(target.name);
        if (gone) {
            if (state !== undefined) {
                remove(state);
            }
            return;
        }
        if (state !== undefined && state.target.incarnation === target.incarnation) {
            state.target = target;
            const wasWarm = state.warmupEndsAt <= clock.now();
            state.warmupEndsAt = clock.now() + target.warmupMilliseconds;
            if (wasWarm && target.warmupMilliseconds > 0) {
                state.pace.start(clock.now());
            }
            notifyIfCold(state);
            return;
        }
        if (state !== undefined) {
            remove(state);
        }
        const created = create(target);
        states.set(target.name, created);
        notifyIfCold(created);
    });
    signal.addEventListener("abort", () => [...states.values()].forEach(remove), { once: true });

    const block = (state: TargetState, milliseconds: number): void => {
        state.blockedUntil = Math.max(state.blockedUntil, clock.now() + milliseconds);
    };

    return {
        ofPool: name => [...states.values()].filter(state => state.target.pool === name),
        get: name => states.get(name),
        maxConnections: (state, endAt) => limitFor(state, false, endAt),
        wantConnections: state => isLent(partOf(state)) && loans?.want(state.target.name),
        grantConnections: (target, asked) => {
            const state = states.get(target);
            const hosts = sharingHosts();
            return state === undefined || hosts === undefined ? 0 : grantedConnections({
                part: partOf(state),
                lent: loans?.lent(target) ?? 0,
                inUse: state.load.ownRequests(),
                isSettled: hosts.isSettled,
                mayHaveLent: hosts.mayHaveLent === true,
            }, asked);
        },
        isWithinPart: target => {
            const state = states.get(target);
            return state === undefined || state.load.ownRequests() <= ownPartOf(state);
        },
        applyLimit: target => {
            const state = states.get(target);
            if (state !== undefined) {
                state.link.applyLimit();
                wake(state);
            }
        },
        connectionQueue,
        applyLimits: () => states.forEach(({ link }) => link.applyLimit()),
        recordFailure: state => {
            state.failureShare += (1 - state.failureShare) * failureWeight;
        },
        recordSuccess: state => {
            state.connectFailures = 0;
            state.failureShare -= state.failureShare * failureWeight;
        },
        recordConnectFailure: state => {
            block(state, Math.min(maxBlockMilliseconds, firstBlockMilliseconds * 2 ** state.connectFailures));
            state.connectFailures += 1;
            state.pace.start(clock.now());
            suspectRestart(state);
        },
        recordMeasure: (state, measure) => state.pace.record(measure, clock.now()),
        recordConnectionLost: suspectRestart,
        limitsColdTargets: pool => coldTargetsOf(pool) !== undefined,
        coldLimit,
        coldCount: () => [...states.values()].filter(state => coldLimit(state) !== undefined).length,
        block,
    };
};
