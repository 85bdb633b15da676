/**
 * Sends a coordinator's grants: renews those of all ranges in time and tracks which owners do not accept grants.
 */
import type { Clock } from "../../contracts/clock.ts";
import { messageOf } from "../../contracts/errors.ts";
import { isSameOwner, type OwnedRange, rangeId, type RangeOwner } from "../../contracts/ownership.ts";
import type { OwnershipCallResult, OwnershipLink } from "../../contracts/resident.ts";
import type { RegisteredTarget } from "../../contracts/routing.ts";
import { isLater, laterOf } from "../../contracts/storehistory.ts";
import { lapsedAt } from "../../decisions/coordinatorlease.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";

export type GrantsOptions = {
    link: OwnershipLink;
    /** Finds the owner's target, also after its entry left the registry; undefined when it was never registered. */
    findTarget: (owner: RangeOwner) => RegisteredTarget | undefined;
    mayGrant: () => boolean;
    /** Whether the ownership still has this range: it may change while a grant is prepared. */
    isCurrent: (range: OwnedRange) => boolean;
    /** Called when the owner has seen a newer fence for one of the keys. */
    onHigherFence: (range: OwnedRange) => void;
    /**
     * Called when the owner may have restarted under the same name, without its keys: its connections broke, or closed
     * without notice. Its ranges need new fences before they are granted again, since no two processes may get the same.
     */
    onSuspect: (owner: RangeOwner) => Promise<void>;
    /** How long a grant allows its owner to serve the keys. */
    holdMilliseconds: number;
    clock: Clock;
    log: Log;
    metrics: Metrics;
};

export type Grants = {
    /** Clears the state at the start of a new term. */
    reset: () => void;
    /** Sends one grant of the range. */
    grant: (range: OwnedRange) => Promise<void>;
    /** Sends the grants that are due for renewal, without waiting for their results. */
    renew: (ranges: OwnedRange[]) => void;
    /** Stores the handover token of the former owner, which the next grants of the range carry. */
    recordHandover: (range: OwnedRange, handover: string | undefined) => void;
    /** Whether any grant is neither answered nor given up. */
    areInFlight: () => boolean;
    /** Whether the owner is considered lost because it accepted no grants for a while. */
    isLost: (owner: RangeOwner) => boolean;
    /**
     * Returns the monotonic time at which the hold of a silent owner on the keys has certainly expired, given the time
     * until which earlier coordinators may have sent grants. Returns Infinity while a grant is in flight.
     */
    holdExpiresAt: (owner: RangeOwner, keys: KeySpan, formerMayGrantUntil: number) => number;
};

type KeySpan = Pick<OwnedRange, "from" | "to">;

/** The last time at which a grant of the keys may have arrived. */
type Arrival = KeySpan & { at: number };

const renewMilliseconds = 1_200;
const retryMilliseconds = 250;
/**
 * A target that accepts no grants for this time is considered lost and gets none for a pause that doubles each time, up
 * to a maximum.
 */
const lostMilliseconds = 900;
const firstLostPauseMilliseconds = 2_000;
const maxLostPauseMilliseconds = 16_000;

/** Pauses between renewals of an owner's fences for new sessions. */
const firstSessionPauseMilliseconds = 8_000;
const maxSessionPauseMilliseconds = 256_000;

/** Arrivals are kept for this many holds; their holds have expired long before. */
const arrivalRetentionHolds = 3;

const overlap = (left: KeySpan, right: KeySpan): boolean => left.from <= right.to && left.to >= right.from;

const ownerName = (owner: RangeOwner): string => `${owner.target}/${owner.incarnation}`;

/** Creates the sender of one pool's grants. */
export const createGrants = (options: GrantsOptions): Grants => {
    const { link, clock, log, metrics } = options;
    const arrivals = new Map<string, Map<string, Arrival>>();
    const timesLost = new Map<string, number>();
    const renewedAt = new Map<string, number>();
    const failingSince = new Map<string, number>();
    const lostUntil = new Map<string, number>();
    const handovers = new Map<string, string | undefined>();
    const inFlight = new Map<string, OwnedRange>();
    /** Owners whose connections broke: they may have restarted under the same name, without their keys. */
    const suspects = new Set<string>();
    /** Owners whose ranges are getting new fences. */
    const renewing = new Set<string>();
    /** Highest fence by owner with which a grant may have arrived. */
    const arrivedFences = new Map<string, number>();
    /** Sessions of the link in which the owners took their grants, by fence. */
    const grantedSessions = new Map<number, number>();
    /** The session before which an owner's fences are not repeated, since when, and how long none takes its place. */
    const requiredSessions = new Map<string, { session: number; at: number; pauseMilliseconds: number }>();

    const isLost = (owner: RangeOwner): boolean => (lostUntil.get(ownerName(owner)) ?? 0) > clock.now();

    const recordRefusal = (owner: RangeOwner, reason: string): void => {
        const name = ownerName(owner);
        const now = clock.now();
        const since = failingSince.get(name) ?? now;
        failingSince.set(name, since);
        if (now - since >= lostMilliseconds && !isLost(owner)) {
            const times = timesLost.get(name) ?? 0;
            timesLost.set(name, times + 1);
            lostUntil.set(name, now + Math.min(maxLostPauseMilliseconds, firstLostPauseMilliseconds * 2 ** times));
            failingSince.delete(name);
            log.warn("target-lost", { target: owner.target, reason, forMilliseconds: Math.round(now - since) });
        }
    };

    const recordArrival = (range: OwnedRange, at: number): void => {
        const { from, to, owner } = range;
        const ownerArrivals = arrivals.get(ownerName(owner)) ?? new Map<string, Arrival>();
        arrivals.set(ownerName(owner), ownerArrivals);
        ownerArrivals.set(rangeId(range), { from, to, at });
        const oldest = at - arrivalRetentionHolds * options.holdMilliseconds;
        ownerArrivals.forEach((arrival, id) => arrival.at < oldest && ownerArrivals.delete(id));
    };

    const recordResult = (range: OwnedRange, result: OwnershipCallResult["result"]): void => {
        const { owner, from, to, fence } = range;
        const now = clock.now();
        metrics.count("grants", { result });
        if (result === "unreachable" || result === "unknown") {
            suspects.add(ownerName(owner));
        }
        if (result !== "unreachable") {
            recordArrival(range, now);
            arrivedFences.set(ownerName(owner), laterOf(fence, arrivedFences.get(ownerName(owner)) ?? 0));
        }
        if (result === "done") {
            renewedAt.set(rangeId(range), now);
            failingSince.delete(ownerName(owner));
            suspects.delete(ownerName(owner));
            timesLost.delete(ownerName(owner));
            return;
        }
        log.info("grant-failed", { target: owner.target, from, to, fence, result });
        renewedAt.set(rangeId(range), now - renewMilliseconds + retryMilliseconds);
        if (result === "higher-fence") {
            options.onHigherFence(range);
            return;
        }
        recordRefusal(owner, result);
    };

    /**
     * Whether the session in which the owner took this fence has ended so that its process may have, too. Ends that
     * follow one another count ever less often, as some targets close idle connections all the time.
     */
    const isSessionOver = (name: string, fence: number, session: number): boolean => {
        const grantedIn = grantedSessions.get(fence);
        const now = clock.now();
        const last = requiredSessions.get(name);
        if (grantedIn === undefined || grantedIn === session) {
            return false;
        }
        if (last !== undefined && now - last.at < last.pauseMilliseconds) {
            return grantedIn < last.session;
        }
        const isRare = last === undefined || now - last.at >= maxSessionPauseMilliseconds;
        const pauseMilliseconds = isRare
            ? firstSessionPauseMilliseconds
            : Math.min(maxSessionPauseMilliseconds, last.pauseMilliseconds * 2);
        requiredSessions.set(name, { session, at: now, pauseMilliseconds });
        return true;
    };

    /** Whether the process that took the grant with this fence may have been replaced since, under the same name. */
    const mayBeReplaced = ({ owner, fence }: OwnedRange, target: RegisteredTarget): boolean => {
        const name = ownerName(owner);
        return suspects.has(name) && !isLater(fence, arrivedFences.get(name) ?? 0)
            || isSessionOver(name, fence, link.session(target));
    };

    const renewFences = async (owner: RangeOwner): Promise<void> => {
        const name = ownerName(owner);
        if (!renewing.has(name)) {
            renewing.add(name);
            await options.onSuspect(owner).finally(() => renewing.delete(name));
        }
    };

    const grant = async (range: OwnedRange): Promise<void> => {
        const { owner, fence } = range;
        const target = options.findTarget(owner);
        const id = rangeId(range);
        if (target === undefined || inFlight.has(id) || !options.mayGrant() || !options.isCurrent(range)) {
            return;
        }
        if (mayBeReplaced(range, target)) {
            await renewFences(owner);
            return;
        }
        inFlight.set(id, range);
        const session = link.session(target);
        try {
            const answer = await link.grant(target, range, options.holdMilliseconds, handovers.get(id));
            recordResult(range, answer.result);
            if (answer.result === "done") {
                grantedSessions.set(fence, session);
            }
        }
        catch (error) {
            log.info("grant-withheld", { target: owner.target, fence, error: messageOf(error) });
        }
        finally {
            inFlight.delete(id);
        }
    };

    return {
        reset: () => {
            arrivals.clear();
            timesLost.clear();
            renewedAt.clear();
            failingSince.clear();
            lostUntil.clear();
            handovers.clear();
            requiredSessions.clear();
        },
        grant,
        renew: ranges => {
            const now = clock.now();
            const fences = new Set(ranges.map(({ fence }) => fence));
            grantedSessions.forEach((...[, fence]) => fences.has(fence) || grantedSessions.delete(fence));
            for (const range of ranges) {
                const isDue = (renewedAt.get(rangeId(range)) ?? -Infinity) + renewMilliseconds <= now;
                if (isDue && !isLost(range.owner)) {
                    void grant(range);
                }
            }
        },
        recordHandover: (range, handover) => {
            handovers.set(rangeId(range), handover);
        },
        areInFlight: () => inFlight.size > 0,
        isLost,
        holdExpiresAt: (owner, keys, formerMayGrantUntil) => {
            const mayStillArrive = [...inFlight.values()]
                .some(range => isSameOwner(range.owner, owner) && overlap(range, keys));
            if (mayStillArrive) {
                return Infinity;
            }
            const overlapping = [...arrivals.get(ownerName(owner))?.values() ?? []]
                .filter(arrival => overlap(arrival, keys));
            const last = Math.max(-Infinity, ...overlapping.map(arrival => arrival.at));
            return lapsedAt(last, formerMayGrantUntil, options.holdMilliseconds);
        },
    };
};
