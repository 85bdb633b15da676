/**
 * Lanes: the admission of this host to each target, with the timers that it needs. One lane belongs to one view.
 */
import type { Clock } from "../contracts/clock.ts";
import { createLane, type Entrant, type Lane, type Verdict } from "../decisions/admit.ts";
import { createLimit, type Limit } from "../decisions/limit.ts";
import { connectionsFor } from "../decisions/share.ts";
import type { AdmissionReading } from "./gauges.ts";
import type { ExchangeSample } from "./sender.ts";
import type { TargetView } from "./target.ts";

export type TargetAdmission = {
    queue: Lane;
    limit: Limit;
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

export type Admission = {
    of: (view: TargetView) => TargetAdmission;
    /** Resolves when the entrant may go or is refused. */
    admit: (view: TargetView, entrant: Omit<Entrant, "decide">, gone: HangUpSignal) => Verdict | Promise<Verdict>;
    complete: (view: TargetView, sample: ExchangeSample) => void;
    /** The target shed work and wants none for the time given. */
    recordShed: (view: TargetView, backOffMilliseconds: number) => void;
    /** Sends nothing to the target for the time given. */
    block: (view: TargetView, milliseconds: number) => void;
    /** This host's part of all targets has changed. */
    setShare: (share: number) => void;
    /** Sends all that wait for targets of the pool back to have their place decided again. */
    rerouteWaiting: (pool: string) => void;
    /** Reads all lanes and starts to count what finishes anew. */
    takeReadings: () => AdmissionReading[];
    /** How far a target that started is warmed up, from 0 to 1. */
    rampShare: (view: TargetView) => number;
};

/** Lets a lane know that the caller of a waiting entrant is gone. */
export type HangUpSignal = { happened: boolean; listener: (() => void) | undefined };

export type AdmissionOptions = { queueLength: number; rampMilliseconds: number; clock: Clock; signal: AbortSignal };

const minBackOffMilliseconds = 10;

/** Creates the lanes of one host. */
export const createAdmission = (options: AdmissionOptions): Admission => {
    const { clock, rampMilliseconds, signal } = options;
    const lanes = new Map<TargetView, TargetAdmission>();
    const timers = new Set<Lane>();
    let share = 1;

    const shareFor = (view: TargetView) => ({ share, connections: connectionsFor(view.target.connections, share) });

    const create = (view: TargetView): TargetAdmission => {
        const limit = createLimit({ concurrency: view.target.concurrency, rampMilliseconds }, shareFor(view));
        const made: TargetAdmission = {
            queue: createLane(limit, options.queueLength),
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

    const of = (view: TargetView): TargetAdmission => lanes.get(view) ?? create(view);

    /** A lane that waits for nothing to leave needs a timer to go on. */
    const schedule = (lane: Lane): void => {
        const now = clock.now();
        const dueAt = lane.dueAt(now);
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

    const noteIncarnation = (view: TargetView, entry: TargetAdmission): void => {
        if (entry.incarnation === view.incarnation) {
            return;
        }
        const isRestart = entry.incarnation !== undefined;
        entry.incarnation = view.incarnation;
        if (isRestart) {
            entry.coldSince = clock.now();
            entry.limit.restart(entry.coldSince);
        }
    };

    const block = (view: TargetView, milliseconds: number): void => {
        const entry = of(view);
        entry.blockedUntil = Math.max(entry.blockedUntil, clock.now() + milliseconds);
        entry.queue.backOffUntil(entry.blockedUntil);
        schedule(entry.queue);
    };

    return {
        of,
        admit: (view, entrant, gone) => {
            const entry = of(view);
            const now = clock.now();
            noteIncarnation(view, entry);
            let decide: (verdict: Verdict) => void = () => undefined;
            const waiting: Entrant = { ...entrant, decide: verdict => decide(verdict) };
            const verdict = entry.queue.enter(waiting, now);
            if (verdict !== "waiting") {
                return verdict;
            }
            schedule(entry.queue);
            return new Promise(resolve => {
                const cancelTimer = clock.after(Math.max(0, entrant.deadlineAt - now), () => {
                    entry.queue.withdraw(waiting);
                    decide("deadline-unreachable");
                });
                gone.listener = () => {
                    entry.queue.withdraw(waiting);
                    decide("cancelled");
                };
                decide = decided => {
                    cancelTimer();
                    gone.listener = undefined;
                    resolve(decided);
                };
            });
        },
        complete: (view, sample) => {
            const entry = of(view);
            const now = clock.now();
            noteIncarnation(view, entry);
            if (sample.load !== undefined) {
                entry.reportedLoad = sample.load;
                entry.reportedAt = now;
            }
            if (sample.latencyMilliseconds !== undefined) {
                const full = entry.queue.running() >= entry.limit.value(now);
                entry.limit.noteLatency(sample.latencyMilliseconds, full, now);
            }
            entry.finished += 1;
            entry.queue.leave(now);
            schedule(entry.queue);
        },
        recordShed: (view, backOffMilliseconds) => {
            of(view).limit.noteShed();
            block(view, Math.max(minBackOffMilliseconds, backOffMilliseconds));
        },
        block,
        setShare: next => {
            share = next;
            for (const [view, entry] of lanes) {
                entry.limit.setShare(shareFor(view));
            }
        },
        rerouteWaiting: pool => {
            for (const [view, entry] of lanes) {
                if (view.pool === pool) {
                    entry.queue.disperse();
                }
            }
        },
        takeReadings: () =>
            [...lanes].map(([view, entry]) => {
                const { finished, queue: lane } = entry;
                entry.finished = 0;
                const { pool, target } = view;
                return { pool, running: lane.running(), waiting: lane.waiting(), finished, speed: target.speed };
            }),
        rampShare: view => Math.min(1, (clock.now() - of(view).coldSince) / rampMilliseconds),
    };
};
