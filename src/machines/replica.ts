/**
 * The replica is the host's copy of the platform's objects, with the position up to which it is complete and the time
 * until which it may be relied upon. It applies what the platform or another host sends, in any order and any number of
 * times, and answers the questions of other hosts.
 */
import type { Clock } from "../contracts/clock.ts";
import type { Departure, ObjectsAnswer, ObjectsPush } from "../contracts/objectmessages.ts";
import type { StoredObject } from "../contracts/objects.ts";
import { applyDifference } from "../decisions/difference.ts";
import type { Isolation } from "../decisions/isolation.ts";
import { acknowledgeRevision, confirmByHost, type RevisionTracker } from "../decisions/revisiontracker.ts";
import type { ObjectPage } from "../links/platform.ts";
import type { ObjectView } from "./objects.ts";

export type ReplicaOptions = {
    objects: ObjectView;
    revisionTracker: RevisionTracker;
    isolation: Isolation;
    freshnessMilliseconds: number;
    isolationMilliseconds: number;
    /** Maximum size of the objects in one answer as JSON, in bytes. A single larger object is sent nevertheless. */
    maxAnswerBytes: number;
    clock: Clock;
};

/**
 * Objects that were applied together, each with the version that was held before if that is known. When `position` is
 * above `after`, the changes hold everything that was written after `after` up to `position`. When the two are equal,
 * the changes are not known to be complete.
 */
export type ReplicaUpdate = {
    after: number;
    position: number;
    changes: Array<{ before: StoredObject | undefined; item: StoredObject }>;
};

export type Replica = {
    /** Position up to which all objects are held. */
    position: () => number;
    /**
     * Milliseconds for which the platform's last answer, to this host or passed on, is still fresh; 0 when it is not.
     */
    freshMilliseconds: () => number;
    /** Applies the platform's answer to a question, sent at `sentAt`, for what was written after `after`. */
    applyPage: (page: ObjectPage, after: number, sentAt: number) => void;
    /** Applies another host's answer. True when this host then holds all that the other one does. */
    applyAnswer: (answer: ObjectsAnswer, after: number, sentAt: number) => boolean;
    /** Applies another host's push. False when something is missing and must be asked for. */
    applyPush: (push: ObjectsPush) => boolean;
    /** Answers another host's question for the objects that were written after `after`. */
    answer: (after: number, departures: Departure[]) => ObjectsAnswer;
    /** Calls back after objects were applied that changed the replica. */
    onUpdate: (listener: (update: ReplicaUpdate) => void) => void;
};

/** Deadlines closer to each other than this differ only by rounding. */
const roundingMilliseconds = 1;

/** Creates an empty replica. */
export const createReplica = (options: ReplicaOptions): Replica => {
    const { objects, revisionTracker, isolation, clock } = options;
    const listeners: Array<(update: ReplicaUpdate) => void> = [];
    let position = 0;
    const startedAt = clock.now();
    let readAt = -Infinity;

    const acknowledge = (pool: string): void => {
        const assignment = objects.get("assignments", pool)?.value;
        if (assignment !== undefined) {
            revisionTracker.update(pool, record => acknowledgeRevision(record, assignment.revision));
        }
    };

    /** Accepts an object that is newer than the held version, and adds it to the changes. */
    const accept = (item: StoredObject, changes: ReplicaUpdate["changes"]): void => {
        const before = objects.newest(item.kind, item.name);
        if (before !== undefined && before.version >= item.version) {
            return;
        }
        objects.accept(item);
        changes.push({ before, item });
        if (item.kind === "assignments") {
            acknowledge(item.name);
        }
    };

    /**
     * All held objects that were written after a position: those applied now, and those that came earlier out of order.
     */
    const heldAfter = (after: number, changes: ReplicaUpdate["changes"]): ReplicaUpdate["changes"] => {
        const before = new Map(changes.map(change => [change.item, change.before]));
        return objects.stored()
            .filter(item => item.version > after)
            .map(item => ({ before: before.get(item), item }));
    };

    /** Moves the position up to `end` if nothing before it is missing, and tells the listeners of the changes. */
    const advanceTo = (after: number, end: number, changes: ReplicaUpdate["changes"], complete: boolean): void => {
        const former = position;
        if (complete && after <= position) {
            position = Math.max(position, end);
        }
        if (changes.length > 0) {
            const all = position > former ? heldAfter(former, changes) : changes;
            listeners.forEach(listener => listener({ after: former, position, changes: all }));
        }
    };

    /**
     * Assignments whose newest version is in force. If the newest version is not valid, the last valid one stays in
     * force but is not confirmed.
     */
    const newestAssignments = (): Array<{ pool: string; revision: number }> =>
        objects.list("assignments")
            .filter(({ name, version }) => objects.newest("assignments", name)?.version === version)
            .map(({ name, value }) => ({ pool: name, revision: value.revision }));

    /** Extends the deadlines by another host's answer. A revision that only this host holds is at least as new. */
    const confirmByAnswer = (answer: ObjectsAnswer, sentAt: number): void => {
        const { readAgeMilliseconds } = answer;
        const fresh = Math.max(0, options.freshnessMilliseconds - readAgeMilliseconds);
        const remainingOf = new Map(answer.current.map(entry => [`${entry.pool}/${entry.revision}`, entry]));
        for (const { pool, revision } of newestAssignments()) {
            const vouched = remainingOf.get(`${pool}/${revision}`)?.remainingMilliseconds ?? 0;
            const remainingMilliseconds = Math.max(fresh, vouched);
            const heard = { revision, remainingMilliseconds, readAgeMilliseconds };
            revisionTracker.update(pool, record => confirmByHost(record, heard, sentAt, startedAt));
        }
        readAt = Math.max(readAt, sentAt - readAgeMilliseconds);
        isolation.confirm(sentAt, answer.admitMilliseconds);
    };

    /** Extends the deadlines by an answer of the platform. */
    const confirmByPage = (sentAt: number): void => {
        for (const { pool, revision } of newestAssignments()) {
            revisionTracker.confirm(pool, revision, sentAt, options.freshnessMilliseconds);
        }
        readAt = Math.max(readAt, sentAt);
        isolation.confirm(sentAt, options.isolationMilliseconds);
    };

    const freshMilliseconds = (): number => Math.max(0, readAt + options.freshnessMilliseconds - clock.now());

    /** Revisions whose remaining time exceeds the freshness of the platform's last answer. */
    const vouchedRevisions = (fresh: number): ObjectsAnswer["current"] => {
        const now = clock.now();
        return newestAssignments()
            .map(({ pool, revision }) => ({
                pool,
                revision,
                remainingMilliseconds: revisionTracker.remaining(pool, revision, now),
            }))
            .filter(({ remainingMilliseconds }) => remainingMilliseconds > fresh + roundingMilliseconds);
    };

    return {
        position: () => position,
        freshMilliseconds,
        applyPage: (page, after, sentAt) => {
            const changes: ReplicaUpdate["changes"] = [];
            page.items.forEach(item => accept(item, changes));
            advanceTo(after, page.position, changes, true);
            confirmByPage(sentAt);
        },
        applyAnswer: (answer, after, sentAt) => {
            const changes: ReplicaUpdate["changes"] = [];
            answer.items.forEach(item => accept(item, changes));
            advanceTo(after, answer.position, changes, true);
            const holdsAll = answer.ready && !answer.more && position >= answer.position;
            if (holdsAll) {
                confirmByAnswer(answer, sentAt);
            }
            return holdsAll;
        },
        applyPush: push => {
            const changes: ReplicaUpdate["changes"] = [];
            let complete = true;
            push.whole.forEach(item => accept(item, changes));
            for (const difference of push.differences) {
                const held = objects.newest(difference.kind, difference.name);
                if (held !== undefined && held.version >= difference.version) {
                    continue;
                }
                const item = applyDifference(held, difference);
                if (item === undefined) {
                    complete = false;
                    continue;
                }
                accept(item, changes);
            }
            advanceTo(push.after, push.position, changes, complete);
            return complete && position >= push.position;
        },
        answer: (after, departures) => {
            const wanted = objects.stored()
                .filter(item => item.version > after)
                .sort((left, right) => left.version - right.version);
            const items: StoredObject[] = [];
            let bytes = 0;
            for (const item of wanted) {
                bytes += Buffer.byteLength(JSON.stringify(item));
                if (items.length > 0 && bytes > options.maxAnswerBytes) {
                    break;
                }
                items.push(item);
            }
            const more = items.length < wanted.length;
            const admitMilliseconds = isolation.remaining(clock.now());
            return {
                kind: "objects-answer",
                ready: isolation.isConfirmed(),
                position: more ? Math.min(position, items[items.length - 1].version) : position,
                more,
                items,
                readAgeMilliseconds: Math.max(0, Math.min(clock.now() - readAt, Number.MAX_SAFE_INTEGER)),
                admitMilliseconds,
                current: vouchedRevisions(freshMilliseconds()),
                departures,
            };
        },
        onUpdate: listener => {
            listeners.push(listener);
        },
    };
};
