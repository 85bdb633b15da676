/**
 * Moves of slots and keys from one target to another: when the former owner certainly holds them no longer, so that the
 * new owner may be granted them. A released move is a stable fact: it stays true whoever coordinates.
 *
 * All waits count on the coordinator's monotonic clock from when it knew both the write and the acknowledgements. A
 * coordinator that takes over has no evidence, and collects it again from its own start.
 */
import type { Assignment, Move } from "../contracts/assignment.ts";
import type { GrantAnswer } from "../contracts/grant.ts";
import { majoritySince } from "./witness.ts";

export type MoveTiming = {
    timeToLiveMilliseconds: number;
    freshnessMilliseconds: number;
    /** Longest time for which a request may run at a target. */
    longestDeadlineMilliseconds: number;
};

/** What the coordinator has seen since it knew the write of the move, or since it took over. */
export type MoveEvidence = {
    /** Monotonic time at which it knew that the write had taken effect. */
    knownAt: number;
    /** Time of the first acknowledgement of the revision or a higher one by the host; undefined when there is none. */
    acknowledgedAt: (host: string, revision: number) => number | undefined;
    /** An answer of the former owner to a grant; undefined when there is none. The newest is the most useful one. */
    targetAnswer: TargetEvidence | undefined;
};

export type TargetEvidence = Pick<GrantAnswer, "revision" | "releasing" | "releasingKeys"> & {
    /** No later than the sending of the grant that was answered, on the coordinator's clock. */
    askedAt: number;
};

/** What the coordinator of a pool whose targets do not check grants has seen besides. */
export type RouterEvidence = {
    /** Every host whose status the platform listed, in a read sent after the write of the move was known. */
    routers: readonly string[];
    /** Time at which the host told that it has acknowledged the revision and has no request at the former owner. */
    finishedAt: (host: string, revision: number) => number | undefined;
};

/** The latest of the times; undefined when any is missing. */
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

const earliest = (left: number | undefined, right: number | undefined): number | undefined =>
    left === undefined || (right !== undefined && right < left) ? right : left;

const plus = (time: number | undefined, milliseconds: number): number | undefined =>
    time === undefined ? undefined : time + milliseconds;

/** Every host that may still renew a grant of the target: those named now and those not known to have stopped. */
export const renewersOf = (assignment: Assignment, target: string): string[] => [
    ...new Set([...assignment.renewers[target] ?? [], ...assignment.formerRenewers?.[target] ?? []]),
];

/** Whether the former owner itself has said that it took the move and has finished its work there. */
export const releasedByTarget = (move: Move, answer: MoveEvidence["targetAnswer"]): boolean =>
    answer !== undefined && answer.revision >= move.since
    && !answer.releasing.some(slot => move.slots.includes(slot))
    && !(answer.releasingKeys ?? []).some(key => move.keys.includes(key));

/**
 * The time from which no host can be current below the revision: `freshness` after a majority of the witnesses is known
 * to have acknowledged it. Undefined when no majority is known.
 */
export const lapsedBelow = (
    revision: number,
    assignment: Assignment,
    evidence: Pick<MoveEvidence, "knownAt" | "acknowledgedAt">,
    timing: MoveTiming,
): number | undefined => {
    const acknowledgedAt = (host: string): number | undefined => evidence.acknowledgedAt(host, revision);
    const sets = [
        assignment.witnesses,
        ...assignment.formerWitnesses === undefined ? [] : [assignment.formerWitnesses],
    ];
    const majorities = sets.map(hosts => majoritySince(hosts, acknowledgedAt));
    return plus(latest([evidence.knownAt, ...majorities]), timing.freshnessMilliseconds);
};

/**
 * The time from which no renewer sends the target a grant below the revision: all have acknowledged it, or all hosts
 * below it have lapsed. Undefined when neither is known.
 */
export const renewalsEndedBelow = (
    revision: number,
    target: string,
    assignment: Assignment,
    evidence: Pick<MoveEvidence, "knownAt" | "acknowledgedAt">,
    timing: MoveTiming,
): number | undefined => {
    const acknowledged = renewersOf(assignment, target).map(host => evidence.acknowledgedAt(host, revision));
    const stopped = latest([evidence.knownAt, ...acknowledged]);
    return earliest(stopped, lapsedBelow(revision, assignment, evidence, timing));
};

/**
 * The time from which a move is released, as far as the evidence goes; undefined when it does not suffice. For targets
 * that check grants. `assignment` is the newest one known to be written.
 *
 * The former owner's own word counts when it was asked after the last renewal below the move: else the target may have
 * restarted since, forgotten its fence, and been granted the slots again by a renewer that did not know of the move.
 * Without its word, a move by force is released when the last grant below the move has lapsed.
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
    const ended = renewalsEndedBelow(move.since, move.from, assignment, evidence, timing);
    const answer = evidence.targetAnswer;
    if (ended !== undefined && answer !== undefined && answer.askedAt > ended && releasedByTarget(move, answer)) {
        return ended;
    }
    return move.forced === true ? plus(ended, timing.timeToLiveMilliseconds) : undefined;
};

/**
 * Whether a host may tell the coordinator that it has finished with a target that does not check grants. A host that
 * restarted does not know what it had sent before, so it waits until the longest deadline has passed.
 */
export const mayReportFinished = (
    outstandingRequests: number,
    startedAt: number,
    now: number,
    timing: Pick<MoveTiming, "longestDeadlineMilliseconds">,
): boolean => outstandingRequests === 0 && now >= startedAt + timing.longestDeadlineMilliseconds;

/**
 * The time from which a move is released where targets do not check grants, so that the routers are the fence: every
 * router has finished, or has lapsed and the longest deadline has passed.
 */
export const releaseTimeUnchecked = (
    move: Move,
    assignment: Assignment,
    evidence: MoveEvidence & RouterEvidence,
    timing: MoveTiming,
): number | undefined => {
    const lapsed = lapsedBelow(move.since, assignment, evidence, timing);
    const ended = plus(lapsed, timing.longestDeadlineMilliseconds);
    const finished = evidence.routers.map(host => earliest(evidence.finishedAt(host, move.since), ended));
    return latest([evidence.knownAt, ...finished]);
};

/**
 * The former renewers to write into the next assignment: every host that leaves the renewers of a target, and those
 * that left before and are not known to have acknowledged the current assignment.
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
        const leaving = current.renewers[target] ?? [];
        const left = (current.formerRenewers?.[target] ?? []).filter(host => !hasAcknowledgedCurrent(host));
        const hosts = [...new Set([...leaving, ...left])].filter(host => !staying.includes(host));
        if (hosts.length > 0) {
            former[target] = hosts;
        }
    }
    return former;
};

/** Owners of slots and of keys placed by themselves. */
export type Placement = Pick<Assignment, "targets" | "owners" | "hotKeys">;

export type MoveContext = {
    /** Revision of the assignment that is about to be written. */
    revision: number;
    slotOf: (key: string) => number;
    /** Whether the move is known to be released. */
    isReleased: (move: Move) => boolean;
    /** Targets taken for lost: what leaves them moves by force. */
    lost: ReadonlySet<string>;
};

const ownerOfSlot = (placement: Placement, slot: number): string | undefined =>
    placement.targets[placement.owners[slot] ?? -1];

const hotTarget = (placement: Placement, key: string): string | undefined =>
    placement.hotKeys.find(hot => hot.key === key)?.target;

/** The target that owns the key under the placement. */
export const ownerOfKey = (placement: Placement, key: string, slot: number): string | undefined =>
    hotTarget(placement, key) ?? ownerOfSlot(placement, slot);

/**
 * The moves to write with the next placement: those before that are not released, and one for each pair of targets
 * between which slots or keys change hands. A key that is lifted out of a slot takes the unreleased moves of the slot
 * with it.
 */
export const movesAfter = (current: Assignment, next: Placement, change: MoveContext): Move[] => {
    const moves: Move[] = current.moves
        .filter(move => !change.isReleased(move))
        .map(move =>
            change.lost.has(move.from) && move.forced !== true
                ? { ...move, since: change.revision, forced: true }
                : move
        );
    const retained = [...moves];

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
            moveBetween(from, to ?? "", change.revision, change.lost.has(from)).slots.push(slot);
        }
    }
    for (const key of new Set([...current.hotKeys, ...next.hotKeys].map(hot => hot.key))) {
        const slot = change.slotOf(key);
        const from = ownerOfKey(current, key, slot);
        const to = ownerOfKey(next, key, slot);
        if (from !== undefined && from !== to) {
            moveBetween(from, to ?? "", change.revision, change.lost.has(from)).keys.push(key);
        }
        if (hotTarget(current, key) === undefined) {
            for (const move of retained.filter(other => other.slots.includes(slot))) {
                moveBetween(move.from, to ?? "", move.since, move.forced === true).keys.push(key);
            }
        }
    }
    return moves;
};
