/**
 * Decides when a move of slots and keys from one target to another is released: the former owner can no longer serve
 * them, so the new owner may receive a grant. A released move stays released, whichever host coordinates the pool.
 *
 * All waits are measured on the coordinator's monotonic clock, from the time at which it knew of both the write and the
 * acknowledgements. A coordinator that takes over has no evidence, and collects it again from its own start.
 */
import type { Assignment, Move } from "../contracts/assignment.ts";
import type { GrantAnswer } from "../contracts/grant.ts";
import { majoritySince } from "./witness.ts";

export type MoveTiming = {
    /** Time for which a grant is valid. */
    timeToLiveMilliseconds: number;
    /** Time for which a host may act on a revision after a confirmation. */
    freshnessMilliseconds: number;
    /** Longest time that a request may run at a target. */
    longestDeadlineMilliseconds: number;
};

/** Observations of the coordinator since it learned that the move was written, or since it took over. */
export type MoveEvidence = {
    /** Monotonic time at which the coordinator knew that the write had taken effect. */
    knownAt: number;
    /** Time of the host's first acknowledgement of the revision or a higher one; undefined when there is none. */
    acknowledgedAt: (host: string, revision: number) => number | undefined;
    /** The former owner's answer to a grant, preferably the newest; undefined when there is none. */
    targetAnswer: TargetEvidence | undefined;
};

/** A target's answer to a grant, as far as it matters for the release of a move. */
export type TargetEvidence = Pick<GrantAnswer, "revision" | "releasing" | "releasingKeys"> & {
    /** A time on the coordinator's clock at or before the sending of the grant that was answered. */
    askedAt: number;
};

/** What the coordinator has observed in addition when the targets of the pool do not check grants. */
export type RouterEvidence = {
    /** Every host whose status the platform listed in a read sent after the write of the move was known. */
    routers: readonly string[];
    /** Time at which the host reported that it has acknowledged the revision and has no request at the former owner. */
    finishedAt: (host: string, revision: number) => number | undefined;
};

/** Returns the latest of the times; undefined when any of them is undefined. */
const latest = (times: ReadonlyArray<number | undefined>): number | undefined => {
    let result = -Infinity;
    for (const time of times) {
        if (time === undefined) {
            return undefined;
        }
        result = Math.max(result, time);
    }
    return result;
};

/** Returns the earlier of the times that are defined. */
const earliest = (left: number | undefined, right: number | undefined): number | undefined =>
    left === undefined || (right !== undefined && right < left) ? right : left;

/** Adds a duration to a time; undefined when the time is undefined. */
const addMilliseconds = (time: number | undefined, milliseconds: number): number | undefined =>
    time === undefined ? undefined : time + milliseconds;

/**
 * Lists every host that may still renew a grant of the target: its renewers, and former renewers that are not known to
 * have stopped.
 */
export const renewersOf = (
    assignment: Pick<Assignment, "renewers" | "formerRenewers">,
    target: string,
): string[] => [
    ...new Set([...assignment.renewers[target] ?? [], ...assignment.formerRenewers?.[target] ?? []]),
];

/** Returns whether the former owner has confirmed that it accepted the move and has finished its work on what moves. */
export const releasedByTarget = (move: Move, answer: MoveEvidence["targetAnswer"]): boolean =>
    answer !== undefined && answer.revision >= move.since
    && !answer.releasing.some(slot => move.slots.includes(slot))
    && !(answer.releasingKeys ?? []).some(key => move.keys.includes(key));

/**
 * Returns the time from which no host can act on a revision below the given one: `freshnessMilliseconds` after a
 * majority of the witnesses, and of the former witnesses if there are any, is known to have acknowledged it. Undefined
 * when no majority is known.
 */
export const lapsedBelow = (
    revision: number,
    assignment: Assignment,
    evidence: Pick<MoveEvidence, "knownAt" | "acknowledgedAt">,
    timing: MoveTiming,
): number | undefined => {
    const acknowledgedAt = (host: string): number | undefined => evidence.acknowledgedAt(host, revision);
    const witnessSets = [
        assignment.witnesses,
        ...assignment.formerWitnesses === undefined ? [] : [assignment.formerWitnesses],
    ];
    const majorities = witnessSets.map(hosts => majoritySince(hosts, acknowledgedAt));
    return addMilliseconds(latest([evidence.knownAt, ...majorities]), timing.freshnessMilliseconds);
};

/**
 * Returns the time from which no renewer sends the target a grant below the revision, either because all renewers have
 * acknowledged the revision or because no host can act on a lower one any more. Undefined when neither is known.
 */
export const renewalsEndedBelow = (
    revision: number,
    target: string,
    assignment: Assignment,
    evidence: Pick<MoveEvidence, "knownAt" | "acknowledgedAt">,
    timing: MoveTiming,
): number | undefined => {
    const acknowledged = renewersOf(assignment, target).map(host => evidence.acknowledgedAt(host, revision));
    const allAcknowledgedAt = latest([evidence.knownAt, ...acknowledged]);
    return earliest(allAcknowledgedAt, lapsedBelow(revision, assignment, evidence, timing));
};

/**
 * Returns the time from which a move is released, for targets that check grants. Returns undefined while the evidence
 * does not suffice.
 *
 * The former owner's answer counts only if it was asked after the last renewal below the move. Otherwise the target may
 * have restarted since, forgotten its fence, and been granted the slots again by a renewer that did not know of the
 * move. Without such an answer, a forced move is released when the last grant below the move has expired.
 *
 * @param assignment newest assignment that is known to be written.
 *
 * @example
 * const move = { since: 2, from: "a", to: "b", slots: [0], keys: [], forced: true };
 * const hosts = { renewers: { a: ["host-a"], b: ["host-a"] }, witnesses: ["host-a"], keepers: [] };
 * const assignment = { revision: 2, targets: ["a", "b"], owners: [1], hotKeys: [], moves: [move], ...hosts };
 * const timing = { timeToLiveMilliseconds: 400, freshnessMilliseconds: 1_000, longestDeadlineMilliseconds: 30_000 };
 * const evidence = { knownAt: 100, acknowledgedAt: () => 150, targetAnswer: undefined };
 * releaseTime(move, assignment, evidence, timing); // 550
 */
export const releaseTime = (
    move: Move,
    assignment: Assignment,
    evidence: MoveEvidence,
    timing: MoveTiming,
): number | undefined => {
    const endedAt = renewalsEndedBelow(move.since, move.from, assignment, evidence, timing);
    const answer = evidence.targetAnswer;
    if (endedAt !== undefined && answer !== undefined && answer.askedAt > endedAt && releasedByTarget(move, answer)) {
        return endedAt;
    }
    return move.forced === true ? addMilliseconds(endedAt, timing.timeToLiveMilliseconds) : undefined;
};

/**
 * Returns whether a host may report to the coordinator that it has finished with a target that does not check grants.
 * A host that restarted does not know what it sent before, so it waits until the longest deadline has passed.
 */
export const mayReportFinished = (
    outstandingRequests: number,
    startedAt: number,
    now: number,
    timing: Pick<MoveTiming, "longestDeadlineMilliseconds">,
): boolean => outstandingRequests === 0 && now >= startedAt + timing.longestDeadlineMilliseconds;

/**
 * Returns the time from which a move is released, for targets that do not check grants. Since these targets refuse
 * nothing, the hosts that route requests have to stop: each of them has reported that it has finished, or it can no
 * longer act on a lower revision and the longest deadline has passed since. Undefined while the evidence does not
 * suffice.
 */
export const releaseTimeUnchecked = (
    move: Move,
    assignment: Assignment,
    evidence: MoveEvidence & RouterEvidence,
    timing: MoveTiming,
): number | undefined => {
    const lapsedAt = lapsedBelow(move.since, assignment, evidence, timing);
    const endedAt = addMilliseconds(lapsedAt, timing.longestDeadlineMilliseconds);
    const finished = evidence.routers.map(host => earliest(evidence.finishedAt(host, move.since), endedAt));
    return latest([evidence.knownAt, ...finished]);
};

/**
 * Returns the former renewers of the next assignment, by target: hosts that cease to be renewers with it, and former
 * renewers that are not known to have acknowledged the current assignment.
 */
export const formerRenewersAfter = (
    current: Assignment,
    nextRenewers: Assignment["renewers"],
    hasAcknowledgedCurrent: (host: string) => boolean,
): Record<string, string[]> => {
    const former: Record<string, string[]> = {};
    const targets = new Set([...Object.keys(current.renewers), ...Object.keys(current.formerRenewers ?? {})]);
    for (const target of targets) {
        const staying = nextRenewers[target] ?? [];
        const present = current.renewers[target] ?? [];
        const stillFormer = (current.formerRenewers?.[target] ?? []).filter(host => !hasAcknowledgedCurrent(host));
        const hosts = [...new Set([...present, ...stillFormer])].filter(host => !staying.includes(host));
        if (hosts.length > 0) {
            former[target] = hosts;
        }
    }
    return former;
};

/** The owners of slots, and of hot keys that are placed independently of their slots. */
export type Placement = Pick<Assignment, "targets" | "owners" | "hotKeys">;

/** What is known when the next placement is written. */
export type MoveContext = {
    /** Revision of the assignment that is about to be written. */
    revision: number;
    slotOf: (key: string) => number;
    /** Whether the move is known to be released. */
    isReleased: (move: Move) => boolean;
    /** Targets that failure detection considers lost. Moves away from them are forced. */
    lost: ReadonlySet<string>;
};

const ownerOfSlot = (placement: Placement, slot: number): string | undefined =>
    placement.targets[placement.owners[slot] ?? -1];

const ownerOfHotKey = (placement: Placement, key: string): string | undefined =>
    placement.hotKeys.find(hot => hot.key === key)?.target;

/** Returns the target that owns the key under the placement; undefined when there is none. */
export const ownerOfKey = (placement: Placement, key: string, slot: number): string | undefined =>
    ownerOfHotKey(placement, key) ?? ownerOfSlot(placement, slot);

/**
 * Returns the moves to write with the next placement: the earlier moves that are not released, and a new one for each
 * pair of targets between which slots or keys change their owner. A key that becomes a hot key inherits the unreleased
 * moves of its slot.
 */
export const movesAfter = (current: Assignment, next: Placement, context: MoveContext): Move[] => {
    const moves: Move[] = current.moves
        .filter(move => !context.isReleased(move))
        .map(move =>
            context.lost.has(move.from) && move.forced !== true
                ? { ...move, since: context.revision, forced: true }
                : move
        );
    const retained = [...moves];

    /** Returns the new move between the targets, and adds it when there is none yet. */
    const moveBetween = (from: string, to: string, since: number, forced: boolean): Move => {
        const known = moves.find(move =>
            !retained.includes(move) && move.from === from && move.to === to && move.since === since
        );
        if (known !== undefined) {
            return known;
        }
        const move: Move = { since, from, to, slots: [], keys: [], ...(forced ? { forced } : {}) };
        moves.push(move);
        return move;
    };

    for (let slot = 0; slot < next.owners.length; slot += 1) {
        const from = ownerOfSlot(current, slot);
        const to = ownerOfSlot(next, slot);
        if (from !== undefined && from !== to) {
            moveBetween(from, to ?? "", context.revision, context.lost.has(from)).slots.push(slot);
        }
    }
    for (const key of new Set([...current.hotKeys, ...next.hotKeys].map(hot => hot.key))) {
        const slot = context.slotOf(key);
        const from = ownerOfKey(current, key, slot);
        const to = ownerOfKey(next, key, slot);
        if (from !== undefined && from !== to) {
            moveBetween(from, to ?? "", context.revision, context.lost.has(from)).keys.push(key);
        }
        if (ownerOfHotKey(current, key) === undefined) {
            for (const move of retained.filter(other => other.slots.includes(slot))) {
                moveBetween(move.from, to ?? "", move.since, move.forced === true).keys.push(key);
            }
        }
    }
    return moves;
};
