/**
 * What targets that own keys can serve at most: each has one queue, which knows its load at every moment, gives a slot to
 * the request that came first, and drops those whose time is over.
 */
import { createRandom } from "../../../bench/random.ts";

export type KnowingQueueOptions = {
    targets: number;
    slots: number;
    /** Mean of the times that requests need, which are distributed exponentially. */
    workMilliseconds: number;
    /** Requests as a share of those that all slots can run. */
    utilization: number;
    /** Requests that run or wait at a target at which it refuses further ones. */
    mostRequests: number;
    objectiveMilliseconds: number;
    timeoutMilliseconds: number;
    seconds: number;
    seed: number;
};

/** Shares of all requests that are answered at all, and within the objective. */
export type ServedShares = { served: number; inTime: number };

type Job = { at: number; work: number };
type Run = Job & { endsAt: number };

/** Plays the targets one after another; they do not influence each other. */
export const playKnowingQueues = (options: KnowingQueueOptions): ServedShares => {
    const { slots, workMilliseconds, utilization, mostRequests, objectiveMilliseconds, timeoutMilliseconds } = options;
    const random = createRandom(options.seed);
    let asked = 0;
    let served = 0;
    let inTime = 0;

    const playTarget = (): void => {
        const running: Run[] = [];
        let waiting: Job[] = [];

        const start = (now: number): void => {
            while (waiting.length > 0 && running.length < slots) {
                const [job] = waiting.splice(0, 1);
                running.push({ ...job, endsAt: now + job.work });
            }
            running.sort((left, right) => left.endsAt - right.endsAt);
        };
        const dropLate = (now: number): void => {
            waiting = waiting.filter(({ at }) => now - at < timeoutMilliseconds);
        };
        const runUntil = (time: number): void => {
            while (running.length > 0 && running[0].endsAt <= time) {
                const [{ at, endsAt }] = running.splice(0, 1);
                served += Number(endsAt - at <= timeoutMilliseconds);
                inTime += Number(endsAt - at <= objectiveMilliseconds);
                dropLate(endsAt);
                start(endsAt);
            }
            dropLate(time);
        };

        const meanPause = workMilliseconds / (slots * utilization);
        for (let now = random.exponential(meanPause); now < options.seconds * 1_000;) {
            asked += 1;
            runUntil(now);
            if (running.length + waiting.length < mostRequests) {
                waiting.push({ at: now, work: random.exponential(workMilliseconds) });
                start(now);
            }
            now += random.exponential(meanPause);
        }
        runUntil(Infinity);
    };

    for (let target = 0; target < options.targets; target += 1) {
        playTarget();
    }
    return { served: served / asked, inTime: inTime / asked };
};
