/**
 * The move tracker of one pool, which runs on the pool's coordinator. It offers the assignment to the hosts, collects
 * their acknowledgements and the answers of former owners, and determines when each move is released.
 */
import type { Assignment, Move } from "../contracts/assignment.ts";
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
import { keepRunning, type LongTaskOptions, runAlone, runStep } from "./longtasks.ts";
import type { Peers } from "./peers.ts";

export type MoveTrackerOptions = {
    pool: string;
    host: string;
    peers: Peers;
    timing: MoveTiming;
    /** Hosts that may route, by a read of the platform that was sent after `time`; undefined if there is none yet. */
    routersReadAfter: (time: number) => readonly string[] | undefined;
    /** Called with the moves that were released just now. */
    onReleased: (moves: Move[]) => void;
} & LongTaskOptions;

export type MoveTracker = {
    /** Tracks the moves of an assignment that is known to be written; `item` is the stored object of the assignment. */
    track: (assignment: Assignment, item: StoredObject, checksGrants: boolean) => void;
    /** Whether the former owner is known to hold nothing of the move any more. */
    isReleased: (move: Move) => boolean;
    /** Whether the host is known to have acknowledged the revision tracked last, or a higher one. */
    hasAcknowledged: (host: string) => boolean;
    /**
     * Whether the host is known to act on no revision below the one tracked last: it has acknowledged that revision, or
     * no host can be current below it any more.
     */
    hasStopped: (host: string) => boolean;
    /** Discards all evidence. Call it when this host starts or stops to coordinate the pool. */
    reset: () => void;
};

type Acknowledgement = { revision: number; at: number };

const offerIntervalMilliseconds = 100;
/** Interval after which released moves are announced again to the renewers of their new owners. */
const announceIntervalMilliseconds = 500;
const askTimeoutMilliseconds = 300;
/** Minimum time between two questions to one target through one renewer. */
const askIntervalMilliseconds = 10;
const moveIdOf = (move: MoveId): string => `${move.since} ${move.from} ${move.to}`;

/**
 * Creates the move tracker of one pool. It is idle before `track` and after `reset`, and ends when the signal aborts.
 */
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
    let lastAnnouncedAt = -Infinity;

    /** Records the time if the revision is higher than all that were recorded for the key. */
    const noteRevision = (record: Map<string, Acknowledgement[]>, key: string, revision: number, at: number): void => {
        const known = record.get(key) ?? [];
        record.set(key, known);
        if (revision > (known.at(-1)?.revision ?? 0)) {
            known.push({ revision, at });
        }
    };

    /** When the revision or a higher one was first recorded for the key. */
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

    /** Tells the renewers of the new owners which moves are released. */
    const announceReleased = (assignment: Assignment): void => {
        const moves = assignment.moves.filter(move => released.has(moveIdOf(move)));
        const hosts = new Set(moves.flatMap(move => assignment.renewers[move.to] ?? []));
        for (const host of moves.length === 0 ? [] : hosts) {
            const ids = moves.map(({ since, from, to }) => ({ since, from, to }));
            peers.tell(host, { kind: "moves-released", pool, moves: ids });
        }
        lastAnnouncedAt = clock.now();
    };

    /** Asks the former owner through one of its renewers. The answer counts if renewals ended before the question. */
    const askTarget = async (target: string, renewer: string): Promise<void> => {
        const question = `${target} ${renewer}`;
        const askedAt = clock.now();
        if (asking.has(question) || askedAt - (lastAskedAt.get(question) ?? -Infinity) < askIntervalMilliseconds) {
            return;
        }
        asking.add(question);
        lastAskedAt.set(question, askedAt);
        const message = { kind: "target-question", pool, target } as const;
        const answer = await peers.ask(renewer, message, askTimeoutMilliseconds).finally(() => asking.delete(question));
        if (answer?.kind === "target-report" && answer.pool === pool && answer.target === target) {
            const { revision, releasing, releasingKeys } = answer;
            answers.set(target, { revision, releasing, releasingKeys, askedAt });
            releaseMoves();
        }
    };

    const haveRenewalsEnded = (move: Move, assignment: Assignment): boolean => {
        const at = renewalsEndedBelow(move.since, move.from, assignment, evidenceOf(move), timing);
        return at !== undefined && at <= clock.now();
    };

    /** Asks the former owners whose answer would release a move now. Returns their number. */
    const askTargets = (): number => {
        if (current === undefined || !current.checksGrants) {
            return 0;
        }
        const { assignment } = current;
        const unfinished = assignment.moves.filter(move => !released.has(moveIdOf(move)));
        const targets = new Set(unfinished.filter(move => haveRenewalsEnded(move, assignment)).map(move => move.from));
        for (const target of targets) {
            (assignment.renewers[target] ?? []).forEach(renewer =>
                void runAlone("move-questions", () => askTarget(target, renewer), options)
            );
        }
        return targets.size;
    };

    /** Releases the moves that can be released now. Returns when the next one is due; `Infinity` while none is. */
    const releaseDueMoves = (): number => {
        if (current === undefined) {
            return Infinity;
        }
        const { assignment, checksGrants } = current;
        const now = clock.now();
        let nextAt = Infinity;
        const justReleased: Move[] = [];
        for (const move of assignment.moves.filter(other => !released.has(moveIdOf(other)))) {
            const at = releaseTimeOf(move, assignment, checksGrants);
            if (at !== undefined && at <= now) {
                released.add(moveIdOf(move));
                justReleased.push(move);
            }
            else {
                nextAt = Math.min(nextAt, at ?? Infinity);
            }
        }
        if (justReleased.length > 0) {
            announceReleased(assignment);
            options.onReleased(justReleased);
        }
        if (askTargets() > 0) {
            nextAt = Math.min(nextAt, now + askIntervalMilliseconds);
        }
        return nextAt;
    };

    /** Releases the moves that can be released now, and sets a timer for the next one that is due. */
    const releaseMoves = (): void => {
        stopTimer();
        let nextAt = clock.now() + offerIntervalMilliseconds;
        runStep("move-releases", () => {
            nextAt = releaseDueMoves();
        }, options);
        if (nextAt < Infinity) {
            stopTimer = clock.after(Math.max(1, nextAt - clock.now()), releaseMoves, signal);
        }
    };

    /**
     * Offers the assignment to a host and records its acknowledgement; repeats if a newer assignment came meanwhile.
     */
    const offerTo = async (host: string): Promise<void> => {
        if (current === undefined || asking.has(host)) {
            return;
        }
        const { item } = current;
        asking.add(host);
        const message = { kind: "assignment-offer", item } as const;
        const answer = await peers.ask(host, message, askTimeoutMilliseconds).finally(() => asking.delete(host));
        if (current === undefined) {
            return;
        }
        if (answer?.kind === "assignment-acknowledgement" && answer.pool === pool) {
            const now = clock.now();
            noteRevision(acknowledgements, host, answer.revision, now);
            noteRevision(finished, host, answer.finishedBelow, now);
            releaseMoves();
        }
        if (current.item !== item) {
            await offerTo(host);
        }
    };

    const hasAcknowledged = (host: string): boolean =>
        current !== undefined && firstAt(acknowledgements, host, current.assignment.revision) !== undefined;

    /** Whether no host can be current any more below the revision tracked last. */
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

    /**
     * Hosts whose answer is still needed: those that have not acknowledged the assignment, and, where targets do not
     * check grants, all hosts until they report that their requests under older revisions have ended.
     */
    const hostsToAsk = (): string[] => {
        const unfinished = current?.assignment.moves.some(move => !released.has(moveIdOf(move))) === true;
        const waitsForRouters = unfinished && current?.checksGrants === false;
        return [options.host, ...peers.connected()].filter(host => waitsForRouters || !hasAcknowledged(host));
    };

    const offerToAll = (): void =>
        hostsToAsk().forEach(host => void runAlone("move-offers", () => offerTo(host), options));

    const run = async (): Promise<void> => {
        while (!signal.aborted) {
            offerToAll();
            if (current !== undefined && clock.now() - lastAnnouncedAt >= announceIntervalMilliseconds) {
                announceReleased(current.assignment);
            }
            await clock.sleep(offerIntervalMilliseconds, signal);
        }
    };

    /** Drops the records of revisions and moves that the assignment no longer needs. */
    const forgetOldRevisions = (assignment: Assignment): void => {
        const needed = Math.min(assignment.revision, ...assignment.moves.map(move => move.since));
        for (const revision of knownAt.keys()) {
            if (revision < needed) {
                knownAt.delete(revision);
            }
        }
        const listed = new Set(assignment.moves.map(moveIdOf));
        for (const id of released) {
            if (!listed.has(id)) {
                released.delete(id);
            }
        }
    };

    void keepRunning("move-offers", run, options);
    return {
        track: (assignment, item, checksGrants) => {
            current = { assignment, item, checksGrants };
            knownAt.set(assignment.revision, clock.now());
            forgetOldRevisions(assignment);
            offerToAll();
            releaseMoves();
        },
        isReleased: move => released.has(moveIdOf(move)),
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
