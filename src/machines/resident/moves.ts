/**
 * Carries out the moves of key ranges that the ownership in the store prescribes: first the former owners stop serving
 * the keys, then the new owner gets its grant.
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
    /** Finds the process that has replaced the owner under the same name; undefined while none is known. */
    successorOf: (owner: RangeOwner) => RegisteredTarget | undefined;
    /** Returns the monotonic time until which earlier coordinators may still send grants. */
    formerMayGrantUntil: () => number;
    /** Whether the ownership still has this range. */
    isCurrent: (range: OwnedRange) => boolean;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

export type Moves = {
    /** Clears the completed moves at the start of a new term. */
    reset: () => void;
    /** Starts the moves among the ranges that are not yet in progress, without waiting for them. */
    start: (ranges: OwnedRange[]) => void;
    /** Whether the range's former owners have stopped serving it, or there were none. */
    isGrantable: (range: OwnedRange) => boolean;
    /** Whether a move is in progress, or has completed and is not yet recorded in the store. */
    arePending: () => boolean;
    /** Returns the ids of ranges whose moves have completed and are not yet recorded in the store. */
    finished: () => string[];
    /** Removes moves that are recorded in the store now. */
    removeFinished: (ids: string[]) => void;
};

const retryMilliseconds = 250;
/** Time-out of a release: a target answers it when its work on the keys has ended. */
const releaseMilliseconds = 2_500;

/** Creates the moves of one pool's key ranges. */
export const createMoves = (options: MovesOptions): Moves => {
    const { link, grants, clock, log, metrics, signal } = options;
    const inProgress = new Set<string>();
    const completed = new Set<string>();

    /** Asks a former owner to stop. Resolves to true when it certainly no longer serves the keys. */
    const hasStoppedServing = async (range: OwnedRange, predecessor: RangeOwner): Promise<boolean> => {
        const { from, to, fence } = range;
        const holdExpiresAt = grants.holdExpiresAt(predecessor, range, options.formerMayGrantUntil());
        if (clock.now() >= holdExpiresAt) {
            log.info("hold-lapsed", { target: predecessor.target, from, to, fence });
            return true;
        }
        // A renewal may have reached the successor before the registry announced it.
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
            const lapseMilliseconds = Math.round(holdExpiresAt - clock.now());
            log.info("release-failed", { target: predecessor.target, from, to, fence, result, lapseMilliseconds });
        }
        return answer.result === "done" || answer.result === "gone";
    };

    const haveAllStopped = async (range: OwnedRange): Promise<boolean> => {
        const stopped = await Promise.all(range.predecessors.map(predecessor => hasStoppedServing(range, predecessor)));
        return stopped.every(Boolean);
    };

    const runMove = async (range: OwnedRange): Promise<void> => {
        inProgress.add(rangeId(range));
        try {
            while (options.isCurrent(range) && !signal.aborted) {
                const stopped = await haveAllStopped(range);
                if (stopped && options.isCurrent(range)) {
                    await grants.grant(range);
                    completed.add(rangeId(range));
                    return;
                }
                await clock.sleep(retryMilliseconds, signal);
            }
        }
        finally {
            inProgress.delete(rangeId(range));
        }
    };

    return {
        reset: () => completed.clear(),
        start: ranges => {
            for (const range of ranges) {
                if (
                    range.predecessors.length > 0 && !inProgress.has(rangeId(range)) && !completed.has(rangeId(range))
                ) {
                    void runMove(range);
                }
            }
        },
        isGrantable: range => range.predecessors.length === 0 || completed.has(rangeId(range)),
        arePending: () => inProgress.size + completed.size > 0,
        finished: () => [...completed],
        removeFinished: ids => ids.forEach(id => completed.delete(id)),
    };
};
