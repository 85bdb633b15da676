/**
 * The renewer extends the grants of the targets for which the assignment names this host as a renewer. It needs no
 * coordinator as long as this host may act on the revision. Its questions also serve as the probes that detect the loss
 * of a target.
 */
import type { Assignment, Move } from "../contracts/assignment.ts";
import type { Grant, GrantAnswer } from "../contracts/grant.ts";
import type { MoveId } from "../contracts/ownershipmessages.ts";
import { divisions, type Target } from "../contracts/pool.ts";
import { entitlementOf, isWithheld, validUntilOf } from "../decisions/grant.ts";
import type { RevisionTracker } from "../decisions/revisiontracker.ts";
import { forEachAlone, keepRunning, type LongTaskOptions, runAlone } from "./longtasks.ts";
import type { ObjectView } from "./objects.ts";
import type { Peers } from "./peers.ts";
import { recordClockReading, recordHealth, recordProbeAnswer, type TargetView, type TargetViews } from "./target.ts";

export type RenewerOptions = {
    host: string;
    objects: ObjectView;
    views: TargetViews;
    revisionTracker: RevisionTracker;
    peers: Peers;
    slotOf: (pool: string, key: string) => number;
    renewalMilliseconds: number;
    timeToLiveMilliseconds: number;
} & LongTaskOptions;

export type ProbedTarget = { pool: string; target: Target; view: TargetView };

export type Renewer = {
    /** Renews the grants of the pool's targets now, without waiting for the next round. */
    renewNow: (pool: string) => void;
    /** The targets for which the assignments name this host. */
    probedTargets: () => ProbedTarget[];
};

/** Renewal of one target. At most one question is open at a time. */
type Task = ProbedTarget & {
    isAsking: boolean;
    /** Whether to ask again as soon as the open question has ended. */
    askAgain: boolean;
    /** Identifies the last accepted grant that listed slots; a renewal of the same grant leaves them out. */
    grantedState: string;
    /** Called with the answer to the next grant that is sent, or with undefined when none comes. */
    listeners: Array<(answer: GrantAnswer | undefined) => void>;
};

const moveIdOf = (move: MoveId): string => `${move.since} ${move.from} ${move.to}`;
/** A question that ends unanswered before this share of its timeout has failed and not timed out. */
const failureShare = 0.8;
/** The targets are renewed in this many batches, spread over the renewal interval. */
const batchesPerInterval = 5;

/** Starts the renewer. It runs until the signal aborts. */
export const createRenewer = (options: RenewerOptions): Renewer => {
    const { objects, views, revisionTracker, peers, clock, signal, timeToLiveMilliseconds } = options;
    const tasks = new Map<string, Task>();
    /** Released moves by pool. */
    const released = new Map<string, Set<string>>();
    /** Tasks of the current renewal interval, determined once for all of its batches. */
    let intervalTasks: Task[] = [];

    const isReleased = (pool: string) => (move: Move): boolean => released.get(pool)?.has(moveIdOf(move)) === true;

    /** Asks the target for its clock and incarnation, without which no grant can be sent. */
    const askHealth = async (task: Task): Promise<void> => {
        const { view } = task;
        const askedAt = clock.now();
        view.probe.unansweredSince ??= askedAt;
        const health = await view.link.health(timeToLiveMilliseconds);
        if (health === undefined) {
            noteNoAnswer(task, askedAt);
            return;
        }
        recordProbeAnswer(view, askedAt, clock.now());
        recordHealth(view, health.state, clock.now());
        recordClockReading(view, health.incarnation, health.clock);
    };

    /** Counts a failure if the question ended too early for a timeout. */
    const noteNoAnswer = (task: Task, askedAt: number): void => {
        if (clock.now() - askedAt < timeToLiveMilliseconds * failureShare) {
            task.view.probe.failures += 1;
        }
    };

    /** The grant to send now, and the state that it establishes when it is accepted. */
    const grantFor = (
        task: Task,
        assignment: Assignment,
        incarnation: string,
    ): { grant: Grant; grantedState: string } => {
        const { pool, target, view } = task;
        const { revision } = assignment;
        const withheld = isWithheld(assignment, target.name, isReleased(pool));
        const validUntil = validUntilOf(view.clockReading, timeToLiveMilliseconds, withheld);
        const grantedState = `${revision} ${incarnation} ${released.get(pool)?.size ?? 0}`;
        if (task.grantedState === grantedState) {
            return { grant: { pool, revision, incarnation, validUntil }, grantedState };
        }
        const slotOf = (key: string): number => options.slotOf(pool, key);
        const entitlement = entitlementOf(assignment, target.name, isReleased(pool), slotOf);
        return { grant: { pool, revision, incarnation, validUntil, ...entitlement }, grantedState };
    };

    /** Sends a grant and records the target's answer. */
    const sendGrant = async (task: Task, assignment: Assignment, incarnation: string): Promise<void> => {
        const { view } = task;
        const askedAt = clock.now();
        const { grant, grantedState } = grantFor(task, assignment, incarnation);
        view.probe.unansweredSince ??= askedAt;
        const listeners = task.listeners.splice(0);
        let answer: GrantAnswer | undefined;
        try {
            answer = await view.link.grant(grant, timeToLiveMilliseconds);
        }
        finally {
            listeners.forEach(resolve => resolve(answer));
        }
        if (answer === undefined) {
            noteNoAnswer(task, askedAt);
            return;
        }
        recordProbeAnswer(view, askedAt, clock.now());
        recordClockReading(view, answer.incarnation, answer.clock);
        task.grantedState = answer.accepted ? grantedState : "";
        view.grantedRevision = answer.accepted ? assignment.revision : 0;
        task.askAgain ||= answer.incarnation !== incarnation;
    };

    const renewOnce = async (task: Task): Promise<void> => {
        const { pool, view } = task;
        const checksGrants = objects.get("pools", pool)?.value.checksGrants === true;
        const assignment = objects.get("assignments", pool)?.value;
        if (view.incarnation === undefined || !checksGrants || assignment === undefined) {
            await askHealth(task);
        }
        const mayRenew = assignment !== undefined && revisionTracker.mayRenew(pool, assignment.revision, clock.now());
        if (!checksGrants || view.incarnation === undefined) {
            return;
        }
        if (mayRenew) {
            await sendGrant(task, assignment, view.incarnation);
            return;
        }
        await askHealth(task);
    };

    /** Renews one target, again after the open question if one is open. */
    const renew = async (task: Task): Promise<void> => {
        task.askAgain = task.isAsking;
        if (task.isAsking) {
            return;
        }
        task.isAsking = true;
        try {
            do {
                task.askAgain = false;
                await renewOnce(task);
            }
            while (task.askAgain && !signal.aborted);
        }
        finally {
            task.isAsking = false;
            task.listeners.splice(0).forEach(resolve => resolve(undefined));
        }
    };

    const startRenewal = (task: Task): void => void runAlone("grant-renewal", () => renew(task), options);

    const isNamed = (assignment: Assignment, target: string): boolean =>
        assignment.renewers[target]?.includes(options.host) === true;

    /** Updates the tasks of a pool to its current assignment and returns them. */
    const tasksOf = (pool: string): Task[] => {
        const held = objects.get("pools", pool)?.value;
        const assignment = objects.get("assignments", pool)?.value;
        const found: Task[] = [];
        if (held?.division !== divisions.byKey || assignment === undefined) {
            return found;
        }
        for (const target of held.targets) {
            const id = `${pool}/${target.name}`;
            const view = views.of(pool, target);
            if (!isNamed(assignment, target.name)) {
                tasks.delete(id);
                continue;
            }
            const known = tasks.get(id);
            const task = known?.view === view
                ? known
                : { pool, target, view, isAsking: false, askAgain: false, grantedState: "", listeners: [] };
            tasks.set(id, task);
            found.push(task);
        }
        return found;
    };

    const renewNow = (pool: string): void => {
        tasksOf(pool).forEach(startRenewal);
    };

    /** Discards released moves that the assignment no longer lists. */
    const forgetReleased = (pool: string): void => {
        const listed = new Set(objects.get("assignments", pool)?.value.moves.map(moveIdOf));
        const ids = [...released.get(pool) ?? []].filter(id => listed.has(id));
        released.set(pool, new Set(ids));
    };

    peers.handle("target-question", async (...[, { pool, target }]) => {
        const task = tasksOf(pool).find(known => known.target.name === target);
        if (task === undefined) {
            return undefined;
        }
        const asked = new Promise<GrantAnswer | undefined>(resolve => task.listeners.push(resolve));
        startRenewal(task);
        const answer = await asked;
        if (answer === undefined) {
            return undefined;
        }
        const { revision, releasing, releasingKeys = [] } = answer;
        return { kind: "target-report", pool, target, revision, releasing, releasingKeys };
    });

    peers.handle("moves-released", (...[, message]) => {
        const ids = released.get(message.pool) ?? new Set<string>();
        const before = ids.size;
        message.moves.forEach(move => ids.add(moveIdOf(move)));
        released.set(message.pool, ids);
        if (ids.size > before) {
            renewNow(message.pool);
        }
        return undefined;
    });

    objects.onChange("assignments", pool => {
        forgetReleased(pool);
        renewNow(pool);
    });

    /** Discounts silence of the targets by the time for which this process was paused or busy and did not listen. */
    const discountSilence = (lag: number, now: number): void => {
        for (const { view } of tasks.values()) {
            if (view.probe.unansweredSince !== undefined) {
                view.probe.unansweredSince = Math.min(now, view.probe.unansweredSince + lag);
            }
        }
    };

    /**
     * Renews one batch of the targets. Batches spread the load of an interval, in which each target is renewed once.
     */
    const renewBatch = (batch: number): void => {
        if (batch === 0) {
            intervalTasks = [];
            const assignments = objects.list("assignments");
            forEachAlone("grant-renewal", assignments, ({ name }) => intervalTasks.push(...tasksOf(name)), options);
        }
        for (let index = batch; index < intervalTasks.length; index += batchesPerInterval) {
            startRenewal(intervalTasks[index]);
        }
    };

    const run = async (): Promise<void> => {
        const batchMilliseconds = options.renewalMilliseconds / batchesPerInterval;
        let lastBatchAt = clock.now();
        let batch = 0;
        while (!signal.aborted) {
            const now = clock.now();
            const lag = now - lastBatchAt - batchMilliseconds;
            if (lag > 0) {
                discountSilence(lag, now);
            }
            lastBatchAt = now;
            renewBatch(batch);
            batch = (batch + 1) % batchesPerInterval;
            await clock.sleep(batchMilliseconds, signal);
        }
    };

    void keepRunning("grant-renewal", run, options);
    return {
        renewNow,
        probedTargets: () => [...tasks.values()].map(({ pool, target, view }) => ({ pool, target, view })),
    };
};
