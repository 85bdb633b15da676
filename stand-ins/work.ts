/**
 * The work queue of one incarnation of a stand-in target, which runs a bounded number of requests at once and queues
 * the others, and the type of the record of each run.
 */
import type { TargetRefusal } from "../src/contracts/targetprotocol.ts";
import { targetRefusals } from "../src/contracts/targetprotocol.ts";

/** State of a run. A run that was rolled back had no effect; a run that a crash interrupted may have had one. */
export const runOutcomes = { running: "running", ran: "ran", rolledBack: "rolled-back", lost: "lost" } as const;
export type RunOutcome = (typeof runOutcomes)[keyof typeof runOutcomes];

/** One run of a request as the target recorded it. Times are milliseconds of the machine's monotonic clock. */
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

/** A request as the queue sees it. */
export type Job = {
    requestId: string;
    /** Time for which the job may wait in the queue. */
    deadlineMilliseconds: number;
    /** Returns why the job may not start now; undefined when it may. */
    refusal: () => TargetRefusal | undefined;
    /** Starts the run and returns the function that ends it. */
    begin: () => () => void;
    /** Answers that the job did not run. */
    refuse: (refusal: TargetRefusal) => void;
};

export type WorkQueue = {
    /** Starts the job if a slot is free; else queues it, or sheds it when the queue is full. */
    add: (job: Job) => void;
    /** Removes and refuses a job that has not started. True when there was one. */
    cancel: (requestId: string) => boolean;
    running: () => number;
    queued: () => number;
    /** Drops all jobs without an answer, as a crash does. */
    close: () => void;
};

export type WorkQueueOptions = {
    concurrency: number;
    queueLength: number;
    /** Returns the time that the next job takes. */
    serviceMilliseconds: () => number;
    /** Runs the work now, or after the thaw when the target is frozen. */
    runWhenThawed: (work: () => void) => void;
};

type WaitingJob = { job: Job; timer: NodeJS.Timeout };

/** Creates the work queue of an incarnation. */
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

    /** Takes a waiting job out of the queue. */
    const removeWaiting = (requestId: string): Job | undefined => {
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
            const expire = (): void => removeWaiting(job.requestId)?.refuse(targetRefusals.deadline);
            const timer = setTimeout(() => options.runWhenThawed(expire), job.deadlineMilliseconds);
            waiting.push({ job, timer });
        },
        cancel: requestId => {
            const job = removeWaiting(requestId);
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
