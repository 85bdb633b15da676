/**
 * The replica: the host's copy of the platform's objects together with how far it is complete and until when it may be
 * relied upon. It takes what the platform or another host sends, in any order and any number of times, and answers the
 * questions of other hosts.
 */
import type { Clock } from "../contracts/clock.ts";
import type { Departure, ObjectsAnswer, ObjectsPush } from "../contracts/objectmessages.ts";
import type { StoredObject } from "../contracts/objects.ts";
import { acknowledgeRevision, confirmByHost, type Currency } from "../decisions/currency.ts";
import { applyDifference } from "../decisions/difference.ts";
import type { Isolation } from "../decisions/isolation.ts";
import type { ObjectPage } from "../links/platform.ts";
import type { ObjectView } from "./objects.ts";

export type ReplicaOptions = {
    objects: ObjectView;
    revisionTracker: Currency;
    isolation: Isolation;
    freshnessMilliseconds: number;
    isolationMilliseconds: number;
    /** Bytes of objects, as JSON, that one answer may carry; a single larger object still goes. */
    maxAnswerBytes: number;
    clock: Clock;
};

/**
 * What came in at once, each object with what was held before where that is known. The changes hold all that was
 * written after `after` up to `position`; they claim nothing more when the two are equal.
 */
export type ReplicaUpdate = {
    after: number;
    position: number;
    changes: Array<{ before: StoredObject | undefined; item: StoredObject }>;
};

export type Replica = {
    /** All objects up to here are held. */
    position: () => number;
    /** What is left of the freshness of the platform's last answer, own or passed on; 0 when it has passed. */
    freshMilliseconds: () => number;
    /** Takes the platform's answer to a question for what was written after `after`. */
    applyPage: (page: ObjectPage, after: number, sentAt: number) => void;
    /** Takes another host's answer. True when this host now holds all that the other one does. */
    applyAnswer: (answer: ObjectsAnswer, after: number, sentAt: number) => boolean;
    /** Takes what another host pushed. False when something is missing and must be asked for. */
    applyPush: (push: ObjectsPush) => boolean;
    answer: (after: number, departures: Departure[]) => ObjectsAnswer;
    onUpdate: (listener: (advance: ReplicaUpdate) => void) => void;
};

/** Deadlines that are closer to each other than this are the same but for rounding. */
const toleranceMilliseconds = 1;

/** Creates a replica that holds nothing. */
export const createReplica = (options: ReplicaOptions): Replica => {
    const { objects, revisionTracker: currency, isolation, clock } = options;
    const listeners: Array<(advance: ReplicaUpdate) => void> = [];
    let position = 0;
    const startedAt = clock.now();
    let readAt = -Infinity;

    const acknowledge = (pool: string): void => {
        const assignment = objects.get("assignments", pool)?.value;
        if (assignment !== undefined) {
            currency.update(pool, record => acknowledgeRevision(record, assignment.revision));
        }
    };

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

    /** Everything held that was written after a position: what just came in, and what had come in out of order. */
    const heldAfter = (after: number, changes: ReplicaUpdate["changes"]): ReplicaUpdate["changes"] => {
        const before = new Map(changes.map(change => [change.item, change.before]));
        return objects.stored()
            .filter(item => item.version > after)
            .map(item => ({ before: before.get(item), item }));
    };

    const finish = (after: number, end: number, changes: ReplicaUpdate["changes"], complete: boolean): void => {
        const former = position;
        if (complete && after <= position) {
            position = Math.max(position, end);
        }
        if (changes.length > 0) {
            const all = position > former ? heldAfter(former, changes) : changes;
            listeners.forEach(listener => listener({ after: former, position, changes: all }));
        }
    };

    /** Assignments whose newest version is in force; one of the wrong shape leaves the last good one unconfirmed. */
    const newestAssignments = (): Array<{ pool: string; revision: number }> =>
        objects.list("assignments")
            .filter(({ name, version }) => objects.newest("assignments", name)?.version === version)
            .map(({ name, value }) => ({ pool: name, revision: value.revision }));

    /** Confirms by what another host knows; a revision that is held here and not there is at least as new. */
    const confirmByAnswer = (answer: ObjectsAnswer, sentAt: number): void => {
        const { readAgeMilliseconds } = answer;
        const fresh = Math.max(0, options.freshnessMilliseconds - readAgeMilliseconds);
        const vouched = new Map(answer.current.map(entry => [`${entry.pool}/${entry.revision}`, entry]));
        for (const { pool, revision } of newestAssignments()) {
            const longer = vouched.get(`${pool}/${revision}`)?.remainingMilliseconds ?? 0;
            const remainingMilliseconds = Math.max(fresh, longer);
            const heard = { revision, remainingMilliseconds, readAgeMilliseconds };
            currency.update(pool, record => confirmByHost(record, heard, sentAt, startedAt));
        }
        readAt = Math.max(readAt, sentAt - readAgeMilliseconds);
        isolation.confirm(sentAt, answer.admitMilliseconds);
    };

    const confirmByPage = (sentAt: number): void => {
        for (const { pool, revision } of newestAssignments()) {
            currency.confirm(pool, revision, sentAt, options.freshnessMilliseconds);
        }
        readAt = Math.max(readAt, sentAt);
        isolation.confirm(sentAt, options.isolationMilliseconds);
    };

    const freshMilliseconds = (): number => Math.max(0, readAt + options.freshnessMilliseconds - clock.now());

    const vouchedRevisions = (fresh: number): ObjectsAnswer["current"] => {
        const now = clock.now();
        return newestAssignments()
            .map(({ pool, revision }) => ({
                pool,
                revision,
                remainingMilliseconds: currency.remaining(pool, revision, now),
            }))
            .filter(({ remainingMilliseconds }) => remainingMilliseconds > fresh + toleranceMilliseconds);
    };

    return {
        position: () => position,
        freshMilliseconds,
        applyPage: (page, after, sentAt) => {
            const changes: ReplicaUpdate["changes"] = [];
            page.items.forEach(item => accept(item, changes));
            finish(after, page.position, changes, true);
            confirmByPage(sentAt);
        },
        applyAnswer: (answer, after, sentAt) => {
            const changes: ReplicaUpdate["changes"] = [];
            answer.items.forEach(item => accept(item, changes));
            finish(after, answer.position, changes, true);
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
            finish(push.after, push.position, changes, complete);
            return complete && position >= push.position;
        },
        answer: (after, departures) => {
            const wanted = objects.stored()
                .filter(item => item.version > after)
                .sort((left, right) => left.version - right.version);
            const items: StoredObject[] = [];
            let bytes = 0;
            for (const item of wanted) {
                bytes += JSON.stringify(item).length;
                if (items.length > 0 && bytes > options.maxAnswerBytes) {
                    break;
                }
                items.push(item);
            }
            const more = items.length < wanted.length;
            const admitMilliseconds = isolation.remaining(clock.now());
            return {
                kind: "objects-answer",
                ready: isolation.hasCaughtUp(),
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
