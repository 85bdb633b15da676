/**
 * Lanes: the admission of this host to each target, with the timers that it needs. One lane belongs to one view.
 */
import type { Clock } from "../contracts/clock.ts";
import { type AdmissionQueue, createAdmissionQueue, type QueuedRequest, type Verdict } from "../decisions/admission.ts";
import { type ConcurrencyLimit, createConcurrencyLimit } from "../decisions/concurrencylimit.ts";
import { connectionsFor } from "../decisions/share.ts";
import type { LaneReading } from "./gauges.ts";
import type { ExchangeSample } from "./send.ts";
import type { TargetView } from "./target.ts";

export type TargetLane = {
    lane: AdmissionQueue;
    limit: ConcurrencyLimit;
    /** The target's own report of what runs and waits there, and when it came. */
    reportedLoad: number | undefined;
    reportedAt: number;
    /** Incarnation for which the limit was last set. */
    incarnation: string | undefined;
    /** Monotonic time of the first use under this incarnation. */
    coldSince: number;
    /** Nothing is sent before this time. */
    blockedUntil: number;
    /** Requests that have ended since the last reading. */
    finished: number;
};

export type Lanes = {
    of: (view: TargetView) => TargetLane;
    /** Resolves when the entrant may go or is refused. */
    enter: (view: TargetView, entrant: Omit<QueuedRequest, "decide">, gone: GoneSignal) => Verdict | Promise<Verdict>;
    leave: (view: TargetView, sample: ExchangeSample) => void;
    /** The target shed work and wants none for the time given. */
    shed: (view: TargetView, backOffMilliseconds: number) => void;
    /** Sends nothing to the target for the time given. */
    block: (view: TargetView, milliseconds: number) => void;
    /** This host's part of all targets has changed. */
    setShare: (share: number) => void;
    /** Sends all that wait for targets of the pool back to have their place decided again. */
    disperse: (pool: string) => void;
    /** Reads all lanes and starts to count what finishes anew. */
    read: () => LaneReading[];
    /** How far a target that started is warmed up, from 0 to 1. */
    warmth: (view: TargetView) => number;
};

/** Lets a lane know that the caller of a waiting entrant is gone. */
export type GoneSignal = { happened: boolean; listener: (() => void) | undefined };

export type LanesOptions = { queueLength: number; rampMilliseconds: number; clock: Clock; signal: AbortSignal };

const minBackOffMilliseconds = 10;

/** Creates the lanes of one host. */
export const createLanes = (options: LanesOptions): Lanes => {
    const { clock, rampMilliseconds, signal } = options;
    const lanes = new Map<TargetView, TargetLane>();
    const timers = new Set<AdmissionQueue>();
    let share = 1;

    const shareFor = (view: TargetView) => ({ share, connections: connectionsFor(view.target.connections, share) });

    const create = (view: TargetView): TargetLane => {
        const limit = createConcurrencyLimit(
            { concurrency: view.target.concurrency, rampMilliseconds },
            shareFor(view),
        );
        const made: TargetLane = {
            lane: createAdmissionQueue(limit, options.queueLength),
            limit,
            reportedLoad: undefined,
            reportedAt: 0,
            incarnation: view.incarnation,
            coldSince: -Infinity,
            blockedUntil: 0,
            finished: 0,
        };
        lanes.set(view, made);
        return made;
    };

    const of = (view: TargetView): TargetLane => lanes.get(view) ?? create(view);

    /** A lane that waits for nothing to leave needs a timer to go on. */
    const schedule = (lane: AdmissionQueue): void => {
        const now = clock.now();
        const dueAt = lane.nextAdvanceAt(now);
        if (dueAt === undefined || timers.has(lane)) {
            return;
        }
        timers.add(lane);
        clock.after(Math.max(1, dueAt - now), () => {
            timers.delete(lane);
            lane.advance(clock.now());
            schedule(lane);
        }, signal);
    };

    const noteIncarnation = (view: TargetView, entry: TargetLane): void => {
        if (entry.incarnation === view.incarnation) {
            return;
        }
        const isRestart = entry.incarnation !== undefined;
        entry.incarnation = view.incarnation;
        if (isRestart) {
            entry.coldSince = clock.now();
            entry.limit.resetForRestart(entry.coldSince);
        }
    };

    const block = (view: TargetView, milliseconds: number): void => {
        const entry = of(view);
        entry.blockedUntil = Math.max(entry.blockedUntil, clock.now() + milliseconds);
        entry.lane.backOffUntil(entry.blockedUntil);
        schedule(entry.lane);
    };

    return {
        of,
        enter: (view, entrant, gone) => {
            const entry = of(view);
            const now = clock.now();
            noteIncarnation(view, entry);
            let decide: (verdict: Verdict) => void = () => undefined;
            const waiting: QueuedRequest = { ...entrant, decide: verdict => decide(verdict) };
            const verdict = entry.lane.submit(waiting, now);
            if (verdict !== "waiting") {
                return verdict;
            }
            schedule(entry.lane);
            return new Promise(resolve => {
                const cancelTimer = clock.after(Math.max(0, entrant.deadlineAt - now), () => {
                    entry.lane.cancel(waiting);
                    decide("deadline-unreachable");
                });
                gone.listener = () => {
                    entry.lane.cancel(waiting);
                    decide("cancelled");
                };
                decide = decided => {
                    cancelTimer();
                    gone.listener = undefined;
                    resolve(decided);
                };
            });
        },
        leave: (view, sample) => {
            const entry = of(view);
            const now = clock.now();
            noteIncarnation(view, entry);
            if (sample.load !== undefined) {
                entry.reportedLoad = sample.load;
                entry.reportedAt = now;
            }
            if (sample.latencyMilliseconds !== undefined) {
                const full = entry.lane.running() >= entry.limit.currentLimit(now);
                entry.limit.recordLatency(sample.latencyMilliseconds, full, now);
            }
            entry.finished += 1;
            entry.lane.complete(now);
            schedule(entry.lane);
        },
        shed: (view, backOffMilliseconds) => {
            of(view).limit.recordShed();
            block(view, Math.max(minBackOffMilliseconds, backOffMilliseconds));
        },
        block,
        setShare: next => {
            share = next;
            for (const [view, entry] of lanes) {
                entry.limit.setShare(shareFor(view));
            }
        },
        disperse: pool => {
            for (const [view, entry] of lanes) {
                if (view.pool === pool) {
                    entry.lane.rerouteAll();
                }
            }
        },
        read: () =>
            [...lanes].map(([view, entry]) => {
                const { finished, lane } = entry;
                entry.finished = 0;
                const { pool, target } = view;
                return { pool, running: lane.running(), waiting: lane.waiting(), finished, speed: target.speed };
            }),
        warmth: view => Math.min(1, (clock.now() - of(view).coldSince) / rampMilliseconds),
    };
};
