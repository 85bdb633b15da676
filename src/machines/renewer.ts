/**
 * The renewer extends the grants of the targets for which the assignment names this host, on its own while the host is
 * current. Its questions are also the probes by which the loss of a target is found.
 */
import type { Assignment, Move } from "../contracts/assignment.ts";
import type { Clock } from "../contracts/clock.ts";
import type { Grant, GrantAnswer } from "../contracts/grant.ts";
import type { MoveId } from "../contracts/ownershipmessages.ts";
import { divisions, type Target } from "../contracts/pool.ts";
import { entitlementOf, isWithheld, validUntilOf } from "../decisions/grant.ts";
import type { RevisionTracker } from "../decisions/revisiontracker.ts";
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
    clock: Clock;
    signal: AbortSignal;
};

export type ProbedTarget = { pool: string; target: Target; view: TargetView };

export type Renewer = {
    /** Renews the grants of the pool's targets now, without waiting for the next round. */
    renewNow: (pool: string) => void;
    /** The targets for which this host is named. */
    probedTargets: () => ProbedTarget[];
};

/** Renewal of one target: one question at a time. */
type Task = ProbedTarget & {
    isAsking: boolean;
    askAgain: boolean;
    /** What the target was last granted with its slots; a renewal of the same leaves these out. */
    granted: string;
    /** Called with the answer to the next grant that is sent. */
    waiting: Array<(answer: GrantAnswer | undefined) => void>;
};

const nameOf = (move: MoveId): string => `${move.since} ${move.from} ${move.to}`;
const failureShare = 0.8; // A question that ends sooner than this share of its timeout has failed, not timed out.
const turnsPerInterval = 5;

/** Starts the renewer until the signal aborts. */
export const createRenewer = (options: RenewerOptions): Renewer => {
    const { objects, views, revisionTracker: currency, peers, clock, signal, timeToLiveMilliseconds } = options;
    const tasks = new Map<string, Task>();
    const released = new Map<string, Set<string>>();
    /** Tasks of the interval that runs, found once for all of its turns. */
    let interval: Task[] = [];

    const isReleased = (pool: string) => (move: Move): boolean => released.get(pool)?.has(nameOf(move)) === true;

    /** Asks for the target's clock and incarnation, which a grant needs. */
    const learn = async (task: Task): Promise<void> => {
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

    const noteNoAnswer = (task: Task, askedAt: number): void => {
        if (clock.now() - askedAt < timeToLiveMilliseconds * failureShare) {
            task.view.probe.failures += 1;
        }
    };

    const grantFor = (task: Task, assignment: Assignment, incarnation: string): { grant: Grant; granted: string } => {
        const { pool, target, view } = task;
        const { revision } = assignment;
        const withheld = isWithheld(assignment, target.name, isReleased(pool));
        const validUntil = validUntilOf(view.clockReading, timeToLiveMilliseconds, withheld);
        const granted = `${revision} ${incarnation} ${released.get(pool)?.size ?? 0}`;
        if (task.granted === granted) {
            return { grant: { pool, revision, incarnation, validUntil }, granted };
        }
        const slotOf = (key: string): number => options.slotOf(pool, key);
        const entitlement = entitlementOf(assignment, target.name, isReleased(pool), slotOf);
        return { grant: { pool, revision, incarnation, validUntil, ...entitlement }, granted };
    };

    const offer = async (task: Task, assignment: Assignment, incarnation: string): Promise<void> => {
        const { view } = task;
        const askedAt = clock.now();
        const { grant, granted } = grantFor(task, assignment, incarnation);
        view.probe.unansweredSince ??= askedAt;
        const waiting = task.waiting.splice(0);
        const answer = await view.link.grant(grant, timeToLiveMilliseconds);
        waiting.forEach(resolve => resolve(answer));
        if (answer === undefined) {
            noteNoAnswer(task, askedAt);
            return;
        }
        recordProbeAnswer(view, askedAt, clock.now());
        recordClockReading(view, answer.incarnation, answer.clock);
        task.granted = answer.accepted ? granted : "";
        view.grantedRevision = answer.accepted ? assignment.revision : 0;
        task.askAgain ||= answer.incarnation !== incarnation;
    };

    const renewOnce = async (task: Task): Promise<void> => {
        const { pool, view } = task;
        const checksGrants = objects.get("pools", pool)?.value.checksGrants === true;
        const assignment = objects.get("assignments", pool)?.value;
        if (view.incarnation === undefined || !checksGrants || assignment === undefined) {
            await learn(task);
        }
        const mayRenew = assignment !== undefined && currency.mayRenew(pool, assignment.revision, clock.now());
        if (!checksGrants || view.incarnation === undefined) {
            return;
        }
        if (mayRenew) {
            await offer(task, assignment, view.incarnation);
            return;
        }
        await learn(task);
    };

    const renew = async (task: Task): Promise<void> => {
        task.askAgain = task.isAsking;
        if (task.isAsking) {
            return;
        }
        task.isAsking = true;
        do {
            task.askAgain = false;
            await renewOnce(task);
        }
        while (task.askAgain && !signal.aborted);
        task.isAsking = false;
        task.waiting.splice(0).forEach(resolve => resolve(undefined));
    };

    const isNamed = (assignment: Assignment, target: string): boolean =>
        assignment.renewers[target]?.includes(options.host) === true;

    /** Brings the tasks of a pool in line with its assignment, and gives them. */
    const tasksOf = (pool: string): Task[] => {
        const held = objects.get("pools", pool)?.value;
        const assignment = objects.get("assignments", pool)?.value;
        const found: Task[] = [];
        if (held?.division !== divisions.byKey || assignment === undefined) {
            return found;
        }
        for (const target of held.targets) {
            const place = `${pool}/${target.name}`;
            const view = views.of(pool, target);
            if (!isNamed(assignment, target.name)) {
                tasks.delete(place);
                continue;
            }
            const known = tasks.get(place);
            const task = known?.view === view
                ? known
                : { pool, target, view, isAsking: false, askAgain: false, granted: "", waiting: [] };
            tasks.set(place, task);
            found.push(task);
        }
        return found;
    };

    const renewSoon = (pool: string): void => {
        for (const task of tasksOf(pool)) {
            void renew(task);
        }
    };

    /** Forgets released moves that the assignment no longer lists. */
    const forgetReleased = (pool: string): void => {
        const listed = new Set(objects.get("assignments", pool)?.value.moves.map(nameOf));
        const names = [...released.get(pool) ?? []].filter(name => listed.has(name));
        released.set(pool, new Set(names));
    };

    peers.handle("target-question", async (...[, { pool, target }]) => {
        const task = tasksOf(pool).find(known => known.target.name === target);
        if (task === undefined) {
            return undefined;
        }
        const asked = new Promise<GrantAnswer | undefined>(resolve => task.waiting.push(resolve));
        void renew(task);
        const answer = await asked;
        if (answer === undefined) {
            return undefined;
        }
        const { revision, releasing, releasingKeys = [] } = answer;
        return { kind: "target-report", pool, target, revision, releasing, releasingKeys };
    });

    peers.handle("moves-released", (...[, message]) => {
        const names = released.get(message.pool) ?? new Set<string>();
        const before = names.size;
        message.moves.forEach(move => names.add(nameOf(move)));
        released.set(message.pool, names);
        if (names.size > before) {
            renewSoon(message.pool);
        }
        return undefined;
    });

    objects.onChange("assignments", pool => {
        forgetReleased(pool);
        renewSoon(pool);
    });

    /** Time for which this process did not listen, as it was paused or busy, is not silence of the targets. */
    const forgive = (lag: number, now: number): void => {
        for (const { view } of tasks.values()) {
            if (view.probe.unansweredSince !== undefined) {
                view.probe.unansweredSince = Math.min(now, view.probe.unansweredSince + lag);
            }
        }
    };

    /** Renews the targets whose turn it is, each once an interval, so that they do not all ask for time at once. */
    const renewTurn = (turn: number): void => {
        if (turn === 0) {
            interval = objects.list("assignments").flatMap(({ name }) => tasksOf(name));
        }
        for (let index = turn; index < interval.length; index += turnsPerInterval) {
            void renew(interval[index]);
        }
    };

    const run = async (): Promise<void> => {
        const turnMilliseconds = options.renewalMilliseconds / turnsPerInterval;
        let lastTurnAt = clock.now();
        let turn = 0;
        while (!signal.aborted) {
            const now = clock.now();
            const lag = now - lastTurnAt - turnMilliseconds;
            if (lag > 0) {
                forgive(lag, now);
            }
            lastTurnAt = now;
            renewTurn(turn);
            turn = (turn + 1) % turnsPerInterval;
            await clock.sleep(turnMilliseconds, signal);
        }
    };

    void run();
    return {
        renewNow: renewSoon,
        probedTargets: () => [...tasks.values()].map(({ pool, target, view }) => ({ pool, target, view })),
    };
};
