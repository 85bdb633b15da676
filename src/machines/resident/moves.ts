/**
 * Moves of key ranges that are written in the store: the former owners stop first, then the new one is granted.
 */
import type { Clock } from "../../contracts/clock.ts";
import { type OwnedRange, rangeId, type RangeOwner } from "../../contracts/ownership.ts";
import type { OwnershipLink } from "../../contracts/resident.ts";
import type { RegisteredTarget } from "../../contracts/routing.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import type { Grants } from "./grants.ts";

export type MovesOptions = {
    link: OwnershipLink;
    grants: Grants;
    findTarget: (owner: RangeOwner) => RegisteredTarget | undefined;
    /** The process that runs under the owner's name in its place; undefined while none is known. */
    successorOf: (owner: RangeOwner) => RegisteredTarget | undefined;
    formerMayGrantUntil: () => number;
    /** Whether the range is still planned as it is. */
    isCurrent: (range: OwnedRange) => boolean;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

export type Moves = {
    /** Forgets all: a new term begins. */
    reset: () => void;
    /** Begins the moves among the ranges that are not under way; does not wait. */
    start: (ranges: OwnedRange[]) => void;
    /** Whether the range's former owners have stopped, or there were none. */
    isGrantable: (range: OwnedRange) => boolean;
    /** Whether keys are on their way, or have arrived and that is not yet noted in the store. */
    arePending: () => boolean;
    /** Ids of ranges whose moves ended and are not yet noted in the store. */
    finished: () => string[];
    removeFinished: (ids: string[]) => void;
};

const retryMilliseconds = 250;
/** A release answers when the work on its keys has ended. */
const releaseMilliseconds = 2_500;

/** Creates the moves of one pool. */
export const createMoves = (options: MovesOptions): Moves => {
    const { link, grants, clock, log, metrics, signal } = options;
    const underWay = new Set<string>();
    const ended = new Set<string>();

    /** Asks a former owner to stop. True when it certainly serves the keys no more. */
    const hasStopped = async (range: OwnedRange, predecessor: RangeOwner): Promise<boolean> => {
        const { from, to, fence } = range;
        const lapsesAt = grants.holdExpiresAt(predecessor, range, options.formerMayGrantUntil());
        if (clock.now() >= lapsesAt) {
            log.info("hold-lapsed", { target: predecessor.target, from, to, fence });
            return true;
        }
        // A renewal may have reached the successor before the registry told of it.
        const successor = options.successorOf(predecessor);
        const target = successor ?? options.findTarget(predecessor);
        if (target === undefined) {
            return false;
        }
        const answer = await link.release(target, range, releaseMilliseconds);
        metrics.count("releases", { result: answer.result });
        if (answer.result === "done" && successor === undefined) {
            grants.recordHandover(range, answer.handover);
        }
        else if (answer.result !== "done") {
            const { result } = answer;
            const lapseMilliseconds = Math.round(lapsesAt - clock.now());
            log.info("release-failed", { target: predecessor.target, from, to, fence, result, lapseMilliseconds });
        }
        return answer.result === "done" || answer.result === "gone";
    };

    const haveStopped = async (range: OwnedRange): Promise<boolean> => {
        const stopped = await Promise.all(range.predecessors.map(predecessor => hasStopped(range, predecessor)));
        return stopped.every(Boolean);
    };

    const move = async (range: OwnedRange): Promise<void> => {
        underWay.add(rangeId(range));
        try {
            while (options.isCurrent(range) && !signal.aborted) {
                const stopped = await haveStopped(range);
                if (stopped && options.isCurrent(range)) {
                    await grants.grant(range);
                    ended.add(rangeId(range));
                    return;
                }
                await clock.sleep(retryMilliseconds, signal);
            }
        }
        finally {
            underWay.delete(rangeId(range));
        }
    };

    return {
        reset: () => ended.clear(),
        start: ranges => {
            for (const range of ranges) {
                if (range.predecessors.length > 0 && !underWay.has(rangeId(range)) && !ended.has(rangeId(range))) {
                    void move(range);
                }
            }
        },
        isGrantable: range => range.predecessors.length === 0 || ended.has(rangeId(range)),
        arePending: () => underWay.size + ended.size > 0,
        finished: () => [...ended],
        removeFinished: ids => ids.forEach(id => ended.delete(id)),
    };
};
