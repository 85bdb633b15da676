/**
 * Tasks that run as long as the host does. One that ends by an exception is started again, since a host without it
 * would go on and no longer do what others rely on.
 */
import type { Clock } from "../contracts/clock.ts";
import type { Log } from "../links/logs.ts";
import type { Metrics } from "../links/metrics.ts";

export type LongTaskOptions = {
    clock: Clock;
    log: Log;
    metrics: Pick<Metrics, "count">;
    /** The task is to end when this aborts, and only then. */
    signal: AbortSignal;
};

/** Pause before a task is started again. It doubles with each failure, up to the second one. */
const firstPauseMilliseconds = 100;
const maxPauseMilliseconds = 5_000;
/** A task that has run for this long starts with the first pause again. */
const steadyMilliseconds = 10_000;

/**
 * Runs the task, and again after a pause whenever it rejects or ends before the signal aborts. `run` must leave nothing
 * behind that a second run of it would repeat. Never rejects.
 */
export const keepRunning = async (name: string, run: () => Promise<void>, options: LongTaskOptions): Promise<void> => {
    const { clock, log, metrics, signal } = options;
    let pauseMilliseconds = firstPauseMilliseconds;
    while (!signal.aborted) {
        const startedAt = clock.now();
        let failure: unknown = "ended";
        try {
            await run();
            if (signal.aborted) {
                return;
            }
        }
        catch (error) {
            failure = error;
        }
        const ranMilliseconds = Math.round(clock.now() - startedAt);
        if (ranMilliseconds >= steadyMilliseconds) {
            pauseMilliseconds = firstPauseMilliseconds;
        }
        metrics.count("task-failures", { task: name });
        log.error("task-failed", {
            task: name,
            ranMilliseconds,
            pauseMilliseconds,
            error: failure instanceof Error ? failure.stack : String(failure),
        });
        await clock.sleep(pauseMilliseconds, signal);
        pauseMilliseconds = Math.min(maxPauseMilliseconds, pauseMilliseconds * 2);
    }
};

/** Runs `task` after each pause, until the signal aborts. */
export const repeatTask = (
    name: string,
    pause: () => number,
    task: () => unknown,
    options: LongTaskOptions,
): Promise<void> => {
    const { clock, signal } = options;
    const repeat = async (): Promise<void> => {
        while (!signal.aborted) {
            await clock.sleep(pause(), signal);
            await task();
        }
    };
    return keepRunning(name, repeat, options);
};

type FailureOptions = Pick<LongTaskOptions, "log" | "metrics">;

const recordFailure = (task: string, error: unknown, { log, metrics }: FailureOptions): void => {
    metrics.count("task-failures", { task });
    log.error("task-failed", { task, error: error instanceof Error ? error.stack : String(error) });
};

/** Runs `work`, and counts and logs an exception. Returns whether there was none. */
export const runStep = (task: string, work: () => void, options: FailureOptions): boolean => {
    try {
        work();
        return true;
    }
    catch (error) {
        recordFailure(task, error, options);
        return false;
    }
};

/** Runs asynchronous work that nobody waits for. Counts and logs its failure. Never rejects. */
export const runAlone = async (task: string, work: () => Promise<unknown>, options: FailureOptions): Promise<void> => {
    try {
        await work();
    }
    catch (error) {
        recordFailure(task, error, options);
    }
};

/** Runs `work` for each item, so that an exception costs this item's turn alone. */
export const forEachAlone = <Item>(
    task: string,
    items: Iterable<Item>,
    work: (item: Item) => void,
    options: FailureOptions,
): void => {
    for (const item of items) {
        runStep(task, () => work(item), options);
    }
};
