/**
 * The work of one incarnation of a stand-in target: a bounded number of requests at once, a queue behind them, and the
 * record of every run.
 */
import type { TargetRefusal } from "../src/contracts/targetprotocol.ts";
import { targetRefusals } from "../src/contracts/targetprotocol.ts";

/** How a run ended. One that is rolled back had no effect; one that a crash cut off may have had one. */
export const runOutcomes = { running: "running", ran: "ran", rolledBack: "rolled-back", lost: "lost" } as const;
export type RunOutcome = (typeof runOutcomes)[keyof typeof runOutcomes];

/** One run of a request, from the target's own records. Times are on the machine's monotonic clock. */
export type Execution = {
    requestId: string;
    idempotencyKey: string;
    pool: string;
    key: string;
    revision: number;
    startedAt: number;
    finishedAt?: number;
    outcome: RunOutcome;
    incarnation: string;
};

export type Job = {
    requestId: string;
    deadlineMilliseconds: number;
    /** Refusal that applies now; undefined when the job may start. */
    refusal: () => TargetRefusal | undefined;
    /** Begins the run. The function that it gives back ends it. */
    begin: () => () => void;
    refuse: (refusal: TargetRefusal) => void;
};

export type WorkQueue = {
    add: (job: Job) => void;
    /** Drops a job that has not begun. True when there was one. */
    cancel: (requestId: string) => boolean;
    running: () => number;
    queued: () => number;
    /** Forgets everything, as a crash does. */
    close: () => void;
};

export type WorkQueueOptions = {
    concurrency: number;
    queueLength: number;
    serviceMilliseconds: () => number;
    /** Runs the work now, or later when the target is frozen. */
    runWhenThawed: (work: () => void) => void;
};

type WaitingJob = { job: Job; timer: NodeJS.Timeout };

/** Creates the queue of an incarnation. */
export const createWorkQueue = (options: WorkQueueOptions): WorkQueue => {
    let waiting: WaitingJob[] = [];
    let running = 0;
    let closed = false;

    const startNext = (): void => {
        while (running < options.concurrency && waiting.length > 0) {
            const next = waiting.shift();
            clearTimeout(next?.timer);
            if (next !== undefined) {
                start(next.job);
            }
        }
    };

    const start = (job: Job): void => {
        const refusal = job.refusal();
        if (refusal !== undefined) {
            job.refuse(refusal);
            return;
        }
        running += 1;
        const end = job.begin();
        const finish = (): void => {
            if (closed) {
                return;
            }
            running -= 1;
            end();
            startNext();
        };
        setTimeout(() => options.runWhenThawed(finish), options.serviceMilliseconds());
    };

    const drop = (requestId: string): Job | undefined => {
        const found = waiting.find(entry => entry.job.requestId === requestId);
        waiting = waiting.filter(entry => entry !== found);
        clearTimeout(found?.timer);
        return found?.job;
    };

    return {
        add: job => {
            if (running < options.concurrency) {
                start(job);
                return;
            }
            if (waiting.length >= options.queueLength) {
                job.refuse(targetRefusals.shed);
                return;
            }
            const expire = (): void => drop(job.requestId)?.refuse(targetRefusals.deadline);
            const timer = setTimeout(() => options.runWhenThawed(expire), job.deadlineMilliseconds);
            waiting.push({ job, timer });
        },
        cancel: requestId => {
            const job = drop(requestId);
            job?.refuse(targetRefusals.cancelled);
            return job !== undefined;
        },
        running: () => running,
        queued: () => waiting.length,
        close: () => {
            closed = true;
            waiting.forEach(entry => clearTimeout(entry.timer));
            waiting = [];
        },
    };
};
