/**
 * Admission of requests to targets: for each target view, a queue with a concurrency limit, and the timers that advance
 * the queue.
 */
import { type AdmissionQueue, createAdmissionQueue, type QueuedRequest, type Verdict } from "../decisions/admission.ts";
import { type ConcurrencyLimit, createConcurrencyLimit } from "../decisions/concurrencylimit.ts";
import { connectionsFor } from "../decisions/share.ts";
import type { AdmissionReading } from "./gauges.ts";
import { type LongTaskOptions, runStep } from "./longtasks.ts";
import type { ExchangeSample } from "./sender.ts";
import type { TargetView } from "./target.ts";

export type TargetAdmission = {
    queue: AdmissionQueue;
    limit: ConcurrencyLimit;
    /** Requests that run or wait at the target, by its own report. */
    reportedLoad: number | undefined;
    /** Monotonic time of that report. */
    reportedAt: number;
    /** Incarnation of the target for which the limit was last reset. */
    incarnation: string | undefined;
    /** Monotonic time at which this incarnation was first used after a restart; -Infinity without a restart. */
    coldSince: number;
    /** Monotonic time before which nothing is sent to the target. */
    blockedUntil: number;
    /** Requests that ended since the last reading. */
    finished: number;
};

export type Admission = {
    /** The admission state of the target, created on first use. */
    of: (view: TargetView) => TargetAdmission;
    /** Decides whether the request may be sent to the target, at once or when its turn in the queue comes. */
    admit: (
        view: TargetView,
        entrant: Omit<QueuedRequest, "decide">,
        hangUp: HangUpSignal,
    ) => Verdict | Promise<Verdict>;
    /** Records the end of an admitted request and lets the next one go. */
    complete: (view: TargetView, sample: ExchangeSample) => void;
    /** Records that the target shed a request: lowers its limit and sends nothing to it for the time given. */
    recordShed: (view: TargetView, backOffMilliseconds: number) => void;
    /** Sends nothing to the target for the time given. */
    block: (view: TargetView, milliseconds: number) => void;
    /** Sets this host's share of the concurrency of all targets, from 0 to 1. */
    setShare: (share: number) => void;
    /** Ends the wait of all queued requests of the pool, so that their target is chosen again. */
    rerouteWaiting: (pool: string) => void;
    /** Reads the counts of all targets and resets the count of finished requests. */
    takeReadings: () => AdmissionReading[];
    /** How far a restarted target is warmed up, from 0 to 1. */
    rampShare: (view: TargetView) => number;
};

/** Tells whether the caller hung up, and calls the listener when it does. */
export type HangUpSignal = { happened: boolean; listener: (() => void) | undefined };

export type AdmissionOptions = { queueLength: number; rampMilliseconds: number } & LongTaskOptions;

const minBackOffMilliseconds = 10;
/** Pause after an exception in a queue that advances by its timer. */
const failurePauseMilliseconds = 100;

/** Creates the admission of one host to all targets. `queueLength` bounds the requests that wait for one target. */
export const createAdmission = (options: AdmissionOptions): Admission => {
    const { clock, rampMilliseconds, signal } = options;
    const targets = new Map<TargetView, TargetAdmission>();
    const scheduled = new Set<AdmissionQueue>();
    let share = 1;

    const shareFor = (view: TargetView) => ({ share, connections: connectionsFor(view.target.connections, share) });

    const create = (view: TargetView): TargetAdmission => {
        const limit = createConcurrencyLimit(
            { concurrency: view.target.concurrency, rampMilliseconds },
            shareFor(view),
        );
        const admission: TargetAdmission = {
            queue: createAdmissionQueue(limit, options.queueLength),
            limit,
            reportedLoad: undefined,
            reportedAt: 0,
            incarnation: view.incarnation,
            coldSince: -Infinity,
            blockedUntil: 0,
            finished: 0,
        };
        targets.set(view, admission);
        return admission;
    };

    const of = (view: TargetView): TargetAdmission => targets.get(view) ?? create(view);

    /** Sets a timer for a queue that advances at a certain time rather than when a request ends. */
    const schedule = (queue: AdmissionQueue, minMilliseconds = 1): void => {
        const now = clock.now();
        const dueAt = queue.nextAdvanceAt(now);
        if (dueAt === undefined || scheduled.has(queue)) {
            return;
        }
        scheduled.add(queue);
        clock.after(Math.max(minMilliseconds, dueAt - now), () => {
            scheduled.delete(queue);
            const advanced = runStep("admission", () => queue.advance(clock.now()), options);
            schedule(queue, advanced ? undefined : failurePauseMilliseconds);
        }, signal);
    };

    /** Restarts the warm-up when the target has a new incarnation. */
    const checkIncarnation = (view: TargetView, entry: TargetAdmission): void => {
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
        entry.queue.backOffUntil(entry.blockedUntil);
        schedule(entry.queue);
    };

    return {
        of,
        admit: (view, entrant, hangUp) => {
            const entry = of(view);
            const now = clock.now();
            checkIncarnation(view, entry);
            let decide: (verdict: Verdict) => void = () => undefined;
            const waiting: QueuedRequest = { ...entrant, decide: verdict => decide(verdict) };
            const verdict = entry.queue.submit(waiting, now);
            if (verdict !== "waiting") {
                return verdict;
            }
            schedule(entry.queue);
            return new Promise(resolve => {
                const cancelTimer = clock.after(Math.max(0, entrant.deadlineAt - now), () => {
                    entry.queue.cancel(waiting);
                    decide("deadline-unreachable");
                });
                hangUp.listener = () => {
                    entry.queue.cancel(waiting);
                    decide("cancelled");
                };
                decide = decided => {
                    cancelTimer();
                    hangUp.listener = undefined;
                    resolve(decided);
                };
            });
        },
        complete: (view, sample) => {
            const entry = of(view);
            const now = clock.now();
            checkIncarnation(view, entry);
            if (sample.load !== undefined) {
                entry.reportedLoad = sample.load;
                entry.reportedAt = now;
            }
            if (sample.latencyMilliseconds !== undefined) {
                const isFull = entry.queue.running() >= entry.limit.currentLimit(now);
                entry.limit.recordLatency(sample.latencyMilliseconds, isFull, now);
            }
            entry.finished += 1;
            entry.queue.complete(now);
            schedule(entry.queue);
        },
        recordShed: (view, backOffMilliseconds) => {
            of(view).limit.recordShed();
            block(view, Math.max(minBackOffMilliseconds, backOffMilliseconds));
        },
        block,
        setShare: next => {
            share = next;
            for (const [view, entry] of targets) {
                entry.limit.setShare(shareFor(view));
            }
        },
        rerouteWaiting: pool => {
            for (const [view, entry] of targets) {
                if (view.pool === pool) {
                    entry.queue.rerouteAll();
                }
            }
        },
        takeReadings: () =>
            [...targets].map(([view, entry]) => {
                const { finished, queue } = entry;
                entry.finished = 0;
                const { pool, target } = view;
                return { pool, running: queue.running(), waiting: queue.waiting(), finished, speed: target.speed };
            }),
        rampShare: view => Math.min(1, (clock.now() - of(view).coldSince) / rampMilliseconds),
    };
};
