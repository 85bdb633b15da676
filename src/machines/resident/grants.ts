/**
 * Grants of a coordinator: renews those of all ranges in time, and knows which owners take none.
 */
import type { Clock } from "../../contracts/clock.ts";
import { messageOf } from "../../contracts/errors.ts";
import { isSameOwner, type OwnedRange, rangeId, type RangeOwner } from "../../contracts/ownership.ts";
import type { OwnershipCallResult, OwnershipLink } from "../../contracts/resident.ts";
import type { RegisteredTarget } from "../../contracts/routing.ts";
import { lapsedAt } from "../../decisions/coordinatorlease.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";

export type GrantsOptions = {
    link: OwnershipLink;
    /** Where the owner is, also after its entry is gone; undefined when it was never known. */
    findTarget: (owner: RangeOwner) => RegisteredTarget | undefined;
    /** The target's incarnation as the store has it now; undefined when it is not registered. */
    incarnationOf: (target: string, signal: AbortSignal) => Promise<string | undefined>;
    mayGrant: () => boolean;
    /** Whether the range is still owned as it is: it may move on while its grant is prepared. */
    isCurrent: (range: OwnedRange) => boolean;
    /** The owner has seen a newer fence on one of the keys. */
    onHigherFence: (range: OwnedRange) => void;
    holdMilliseconds: number;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

export type Grants = {
    /** Forgets all: a new term begins. */
    reset: () => void;
    /** Grants the range once. */
    grant: (range: OwnedRange) => Promise<void>;
    /** Renews what is due; does not wait. */
    renew: (ranges: OwnedRange[]) => void;
    /** Keeps the token of the former owner's state for the next grants of the range. */
    recordHandover: (range: OwnedRange, handover: string | undefined) => void;
    /** Whether the owner has taken no grants for a while. */
    isLost: (owner: RangeOwner) => boolean;
    /**
     * When a silent owner has certainly stopped serving the keys, if earlier coordinators granted until the time given;
     * Infinity while a grant is under way.
     */
    holdExpiresAt: (owner: RangeOwner, keys: KeySpan, othersUntil: number) => number;
};

type KeySpan = Pick<OwnedRange, "from" | "to">;

/** The last moment at which a grant of the keys may have arrived. */
type Arrival = KeySpan & { at: number };

const renewMilliseconds = 1_200;
const retryMilliseconds = 250;
/** A target that takes no grants for this time is taken for lost, and left alone for a while, each time longer. */
const lostMilliseconds = 900;
const firstLostPauseMilliseconds = 2_000;
const maxLostPauseMilliseconds = 16_000;

/** Arrivals are remembered for this many holds, by when they have long lapsed. */
const forgottenHolds = 3;

const overlap = (left: KeySpan, right: KeySpan): boolean => left.from <= right.to && left.to >= right.from;

const nameOf = (owner: RangeOwner): string => `${owner.target}/${owner.incarnation}`;

/** Creates the grants of one pool. */
export const createGrants = (options: GrantsOptions): Grants => {
    const { link, clock, log, metrics, signal } = options;
    const arrivals = new Map<string, Map<string, Arrival>>();
    const timesLost = new Map<string, number>();
    const renewedAt = new Map<string, number>();
    const failingSince = new Map<string, number>();
    const lostUntil = new Map<string, number>();
    const handovers = new Map<string, string | undefined>();
    const underWay = new Map<string, OwnedRange>();
    /** Owners whose connections broke: they may have started again under the same name, without their keys. */
    const suspects = new Set<string>();

    const isLost = (owner: RangeOwner): boolean => (lostUntil.get(nameOf(owner)) ?? 0) > clock.now();

    const noteRefused = (owner: RangeOwner, reason: string): void => {
        const name = nameOf(owner);
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

    /** Whether the owner still is the process that was granted. Asks the store once after its connections broke. */
    const isSameProcess = async ({ target, incarnation }: RangeOwner): Promise<boolean> => {
        const name = nameOf({ target, incarnation });
        if (!suspects.has(name)) {
            return true;
        }
        const isSame = await options.incarnationOf(target, signal) === incarnation;
        if (isSame) {
            suspects.delete(name);
        }
        return isSame;
    };

    const noteArrival = (range: OwnedRange, at: number): void => {
        const { from, to, owner } = range;
        const held = arrivals.get(nameOf(owner)) ?? new Map<string, Arrival>();
        arrivals.set(nameOf(owner), held);
        held.set(rangeId(range), { from, to, at });
        const oldest = at - forgottenHolds * options.holdMilliseconds;
        held.forEach((arrival, id) => arrival.at < oldest && held.delete(id));
    };

    const noteResult = (range: OwnedRange, result: OwnershipCallResult["result"]): void => {
        const { owner, from, to, fence } = range;
        const now = clock.now();
        metrics.count("grants", { result });
        if (result === "unreachable" || result === "unknown") {
            suspects.add(nameOf(owner));
        }
        if (result !== "unreachable") {
            noteArrival(range, now);
        }
        if (result === "done") {
            renewedAt.set(rangeId(range), now);
            failingSince.delete(nameOf(owner));
            timesLost.delete(nameOf(owner));
            return;
        }
        log.info("grant-failed", { target: owner.target, from, to, fence, result });
        renewedAt.set(rangeId(range), now - renewMilliseconds + retryMilliseconds);
        if (result === "higher-fence") {
            options.onHigherFence(range);
            return;
        }
        noteRefused(owner, result);
    };

    const grant = async (range: OwnedRange): Promise<void> => {
        const { owner, fence } = range;
        const target = options.findTarget(owner);
        const id = rangeId(range);
        if (target === undefined || underWay.has(id) || !options.mayGrant() || !options.isCurrent(range)) {
            return;
        }
        underWay.set(id, range);
        try {
            if (!await isSameProcess(owner)) {
                noteRefused(owner, "another process may run there");
            }
            else if (options.mayGrant() && options.isCurrent(range)) {
                const answer = await link.grant(target, range, options.holdMilliseconds, handovers.get(id));
                noteResult(range, answer.result);
            }
        }
        catch (error) {
            log.info("grant-withheld", { target: owner.target, fence, error: messageOf(error) });
        }
        finally {
            underWay.delete(id);
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
        },
        grant,
        renew: ranges => {
            const now = clock.now();
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
        isLost,
        holdExpiresAt: (owner, keys, othersUntil) => {
            const mayStillArrive = [...underWay.values()]
                .some(range => isSameOwner(range.owner, owner) && overlap(range, keys));
            if (mayStillArrive) {
                return Infinity;
            }
            const overlapping = [...arrivals.get(nameOf(owner))?.values() ?? []]
                .filter(arrival => overlap(arrival, keys));
            const last = Math.max(-Infinity, ...overlapping.map(arrival => arrival.at));
            return lapsedAt(last, othersUntil, options.holdMilliseconds);
        },
    };
};
