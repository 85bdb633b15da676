/**
 * The moves of one pool as its coordinator follows them: hands the assignment out, collects acknowledgements and what
 * targets say, and finds out when each move is released.
 */
import type { Assignment, Move } from "../contracts/assignment.ts";
import type { Clock } from "../contracts/clock.ts";
import type { StoredObject } from "../contracts/objects.ts";
import type { MoveId } from "../contracts/ownershipmessages.ts";
import {
    lapsedBelow,
    type MoveEvidence,
    type MoveTiming,
    releaseTime,
    releaseTimeUnchecked,
    renewalsEndedBelow,
} from "../decisions/move.ts";
import type { Peers } from "./peers.ts";

export type MoveTrackerOptions = {
    pool: string;
    host: string;
    peers: Peers;
    timing: MoveTiming;
    /** Hosts that may route, by a read of the platform sent after the time given; undefined before such a read. */
    routersReadAfter: (time: number) => readonly string[] | undefined;
    clock: Clock;
    signal: AbortSignal;
    onReleased: (moves: Move[]) => void;
};

export type MoveTracker = {
    /** Begins with an assignment that is known to be written; `item` is it as the platform keeps it. */
    track: (assignment: Assignment, item: StoredObject, checksGrants: boolean) => void;
    isReleased: (move: Move) => boolean;
    /** Whether the host is known to have acknowledged the revision that was begun last, or a higher one. */
    hasAcknowledged: (host: string) => boolean;
    /**
     * Whether the host is known to act on no lower revision than the one that was begun last: it has acknowledged it, or
     * every host that has not can no longer be current.
     */
    hasStopped: (host: string) => boolean;
    /** Forgets all evidence, as another host coordinates. */
    reset: () => void;
};

type Acknowledgement = { revision: number; at: number };

const repeatMilliseconds = 100;
const tellMilliseconds = 500;
const askTimeoutMilliseconds = 300;
const askAgainMilliseconds = 10;
const nameOf = (move: MoveId): string => `${move.since} ${move.from} ${move.to}`;

/** Creates the follower of one pool's moves. It works from `begin` until `forget`, or until the signal aborts. */
export const createMoveTracker = (options: MoveTrackerOptions): MoveTracker => {
    const { pool, peers, clock, signal, timing } = options;
    const released = new Set<string>();
    const acknowledgements = new Map<string, Acknowledgement[]>();
    const finished = new Map<string, Acknowledgement[]>();
    const answers = new Map<string, MoveEvidence["targetAnswer"]>();
    const knownAt = new Map<number, number>();
    const asking = new Set<string>();
    const lastAskedAt = new Map<string, number>();
    let current: { assignment: Assignment; item: StoredObject; checksGrants: boolean } | undefined;
    let stopTimer: () => void = () => undefined;
    let lastToldAt = -Infinity;

    const note = (record: Map<string, Acknowledgement[]>, key: string, revision: number, at: number): void => {
        const known = record.get(key) ?? [];
        record.set(key, known);
        if (revision > (known.at(-1)?.revision ?? 0)) {
            known.push({ revision, at });
        }
    };

    const firstAt = (record: Map<string, Acknowledgement[]>, key: string, revision: number): number | undefined =>
        record.get(key)?.find(entry => entry.revision >= revision)?.at;

    const evidenceOf = (move: Move): MoveEvidence => ({
        knownAt: knownAt.get(move.since) ?? [...knownAt.values()][0] ?? clock.now(),
        acknowledgedAt: (host, revision) => firstAt(acknowledgements, host, revision),
        targetAnswer: answers.get(move.from),
    });

    const releaseTimeOf = (move: Move, assignment: Assignment, checksGrants: boolean): number | undefined => {
        const evidence = evidenceOf(move);
        if (checksGrants) {
            return releaseTime(move, assignment, evidence, timing);
        }
        const routers = options.routersReadAfter(evidence.knownAt);
        const finishedAt = (host: string, revision: number): number | undefined => firstAt(finished, host, revision);
        return routers === undefined
            ? undefined
            : releaseTimeUnchecked(move, assignment, { ...evidence, routers, finishedAt }, timing);
    };

    const tellReleased = (assignment: Assignment): void => {
        const moves = assignment.moves.filter(move => released.has(nameOf(move)));
        const hosts = new Set(moves.flatMap(move => assignment.renewers[move.to] ?? []));
        for (const host of moves.length === 0 ? [] : hosts) {
            const names = moves.map(({ since, from, to }) => ({ since, from, to }));
            peers.tell(host, { kind: "moves-released", pool, moves: names });
        }
        lastToldAt = clock.now();
    };

    /** Asks the former owner itself, through one of its renewers. Its word counts from when the renewals have ended. */
    const askTarget = async (target: string, renewer: string): Promise<void> => {
        const place = `${target} ${renewer}`;
        const askedAt = clock.now();
        if (asking.has(place) || askedAt - (lastAskedAt.get(place) ?? -Infinity) < askAgainMilliseconds) {
            return;
        }
        asking.add(place);
        lastAskedAt.set(place, askedAt);
        const answer = await peers.ask(renewer, { kind: "target-question", pool, target }, askTimeoutMilliseconds);
        asking.delete(place);
        if (answer?.kind === "target-report" && answer.pool === pool && answer.target === target) {
            const { revision, releasing, releasingKeys } = answer;
            answers.set(target, { revision, releasing, releasingKeys, askedAt });
            judge();
        }
    };

    const haveRenewalsEnded = (move: Move, assignment: Assignment): boolean => {
        const at = renewalsEndedBelow(move.since, move.from, assignment, evidenceOf(move), timing);
        return at !== undefined && at <= clock.now();
    };

    /** Asks the former owners whose word would release a move now. Gives their number. */
    const askTargets = (): number => {
        if (current === undefined || !current.checksGrants) {
            return 0;
        }
        const { assignment } = current;
        const unfinished = assignment.moves.filter(move => !released.has(nameOf(move)));
        const targets = new Set(unfinished.filter(move => haveRenewalsEnded(move, assignment)).map(move => move.from));
        for (const target of targets) {
            (assignment.renewers[target] ?? []).forEach(renewer => void askTarget(target, renewer));
        }
        return targets.size;
    };

    /** Releases what can be released now, and comes back when the next move is due. */
    const judge = (): void => {
        stopTimer();
        if (current === undefined) {
            return;
        }
        const { assignment, checksGrants } = current;
        const now = clock.now();
        let nextAt = Infinity;
        const fresh: Move[] = [];
        for (const move of assignment.moves.filter(other => !released.has(nameOf(other)))) {
            const at = releaseTimeOf(move, assignment, checksGrants);
            if (at !== undefined && at <= now) {
                released.add(nameOf(move));
                fresh.push(move);
            }
            else {
                nextAt = Math.min(nextAt, at ?? Infinity);
            }
        }
        if (fresh.length > 0) {
            tellReleased(assignment);
            options.onReleased(fresh);
        }
        if (askTargets() > 0) {
            nextAt = Math.min(nextAt, now + askAgainMilliseconds);
        }
        if (nextAt < Infinity) {
            stopTimer = clock.after(Math.max(1, nextAt - now), judge, signal);
        }
    };

    const offerTo = async (host: string): Promise<void> => {
        if (current === undefined || asking.has(host)) {
            return;
        }
        const { item } = current;
        asking.add(host);
        const answer = await peers.ask(host, { kind: "assignment-offer", item }, askTimeoutMilliseconds);
        asking.delete(host);
        if (current === undefined) {
            return;
        }
        if (answer?.kind === "assignment-acknowledgement" && answer.pool === pool) {
            const now = clock.now();
            note(acknowledgements, host, answer.revision, now);
            note(finished, host, answer.finishedBelow, now);
            judge();
        }
        if (current.item !== item) {
            await offerTo(host);
        }
    };

    const hasAcknowledged = (host: string): boolean =>
        current !== undefined && firstAt(acknowledgements, host, current.assignment.revision) !== undefined;

    const haveLapsed = (): boolean => {
        if (current === undefined) {
            return false;
        }
        const { assignment } = current;
        const known = knownAt.get(assignment.revision) ?? clock.now();
        const acknowledgedAt = (host: string, revision: number): number | undefined =>
            firstAt(acknowledgements, host, revision);
        const at = lapsedBelow(assignment.revision, assignment, { knownAt: known, acknowledgedAt }, timing);
        return at !== undefined && at <= clock.now();
    };

    /** Hosts whose word is still missing: the assignment itself, or that their requests have ended. */
    const hostsToAsk = (): string[] => {
        const unfinished = current?.assignment.moves.some(move => !released.has(nameOf(move))) === true;
        const waitsForRouters = unfinished && current?.checksGrants === false;
        return [options.host, ...peers.connected()].filter(host => waitsForRouters || !hasAcknowledged(host));
    };

    const run = async (): Promise<void> => {
        while (!signal.aborted) {
            for (const host of hostsToAsk()) {
                void offerTo(host);
            }
            if (current !== undefined && clock.now() - lastToldAt >= tellMilliseconds) {
                tellReleased(current.assignment);
            }
            await clock.sleep(repeatMilliseconds, signal);
        }
    };

    const forgetOldRevisions = (assignment: Assignment): void => {
        const needed = Math.min(assignment.revision, ...assignment.moves.map(move => move.since));
        for (const revision of knownAt.keys()) {
            if (revision < needed) {
                knownAt.delete(revision);
            }
        }
        const listed = new Set(assignment.moves.map(nameOf));
        for (const name of released) {
            if (!listed.has(name)) {
                released.delete(name);
            }
        }
    };

    void run();
    return {
        track: (assignment, item, checksGrants) => {
            current = { assignment, item, checksGrants };
            knownAt.set(assignment.revision, clock.now());
            forgetOldRevisions(assignment);
            for (const host of hostsToAsk()) {
                void offerTo(host);
            }
            judge();
        },
        isReleased: move => released.has(nameOf(move)),
        hasAcknowledged,
        hasStopped: host => hasAcknowledged(host) || haveLapsed(),
        reset: () => {
            stopTimer();
            current = undefined;
            released.clear();
            acknowledgements.clear();
            finished.clear();
            answers.clear();
            knownAt.clear();
        },
    };
};
