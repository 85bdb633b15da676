/**
 * Simulates a host whose machine is slow for a while: its event loop handles grant renewals and requests in order of
 * arrival, and callers repeat a request after its deadline. Guards against an overload that lasts after the machine has
 * recovered, because late renewals and repeated requests keep the host busy.
 */
import test from "ava";
import { createLoadShedder, type LoadShedder } from "../../src/decisions/loadshedding.ts";

type Work = { costMilliseconds: number; run: (doneAt: number) => void };

type Figures = {
    /** Number of requests answered in time, by second. */
    answered: number[];
    refused: number;
    /** Longest time between two renewals of a grant, by second. */
    longestRenewalMilliseconds: number[];
};

const seconds = 45;
const tickMilliseconds = 20;
const renewalMilliseconds = 100;
const grants = 36;
const renewalCostMilliseconds = 0.3;
const requestCostMilliseconds = 2;
const refusalCostMilliseconds = 0.2;
const deadlineMilliseconds = 2_000;
const retryAfterMilliseconds = 300;
const attemptsOfCaller = 3;
const slowFrom = 5_000;
const slowUntil = 10_000;
const slowFactor = 8;

const createRandom = () => {
    let state = 7;
    return (): number => {
        state = (state * 16_807) % 2_147_483_647;
        return state / 2_147_483_647;
    };
};

/** Simulates the load in steps of one millisecond. */
const simulate = (requestsPerSecond: number, shedder: LoadShedder | undefined): Figures => {
    const queue: Work[] = [];
    const timers = new Map<number, Array<() => void>>();
    const answered = new Array<number>(seconds).fill(0);
    const longestRenewalMilliseconds = new Array<number>(seconds).fill(0);
    let refused = 0;
    let now = 0;
    let spareMilliseconds = 0;

    const at = (time: number, callback: () => void): void => {
        const due = Math.max(now + 1, Math.round(time));
        timers.set(due, [...timers.get(due) ?? [], callback]);
    };

    const renew = (lastAt: number): void => {
        queue.push({
            costMilliseconds: renewalCostMilliseconds,
            run: doneAt => {
                const second = Math.min(seconds - 1, Math.floor(doneAt / 1_000));
                longestRenewalMilliseconds[second] = Math.max(longestRenewalMilliseconds[second], doneAt - lastAt);
                at(doneAt + renewalMilliseconds, () => renew(doneAt));
            },
        });
    };

    const tick = (dueAt: number): void => {
        queue.push({
            costMilliseconds: 0,
            run: doneAt => {
                shedder?.recordTick(doneAt - dueAt, doneAt - dueAt + tickMilliseconds);
                at(doneAt + tickMilliseconds, () => tick(doneAt + tickMilliseconds));
            },
        });
    };

    const sendRequest = (attemptsLeft: number): void => {
        const sentAt = now;
        let over = false;
        const retry = (after: number): void => {
            over = true;
            if (attemptsLeft > 1) {
                at(now + after, () => sendRequest(attemptsLeft - 1));
            }
        };
        at(sentAt + deadlineMilliseconds, () => over || retry(0));
        const work: Work = {
            costMilliseconds: refusalCostMilliseconds,
            run: () => {
                if (shedder?.refuses(false) === true) {
                    refused += 1;
                    retry(retryAfterMilliseconds);
                    return;
                }
                queue.push({
                    costMilliseconds: requestCostMilliseconds - refusalCostMilliseconds,
                    run: doneAt => {
                        if (!over) {
                            over = true;
                            answered[Math.min(seconds - 1, Math.floor(doneAt / 1_000))] += 1;
                        }
                    },
                });
            },
        };
        queue.push(work);
    };

    for (let grant = 0; grant < grants; grant += 1) {
        at(grant * renewalMilliseconds / grants, () => renew(now));
    }
    at(1, () => tick(now));
    let pendingArrivals = 0;
    for (now = 0; now < seconds * 1_000; now += 1) {
        timers.get(now)?.forEach(callback => callback());
        timers.delete(now);
        pendingArrivals += requestsPerSecond / 1_000;
        for (; pendingArrivals >= 1; pendingArrivals -= 1) {
            sendRequest(attemptsOfCaller);
        }
        spareMilliseconds += now >= slowFrom && now < slowUntil ? 1 / slowFactor : 1;
        while (queue.length > 0 && queue[0].costMilliseconds <= spareMilliseconds) {
            const work = queue.shift()!;
            spareMilliseconds -= work.costMilliseconds;
            work.run(now);
        }
        spareMilliseconds = queue.length === 0 ? Math.min(1, spareMilliseconds) : spareMilliseconds;
    }
    return { answered, refused, longestRenewalMilliseconds };
};

const sum = (values: number[]): number => values.reduce((total, value) => total + value, 0);

/** How long a grant is valid after a renewal. */
const holdMilliseconds = 400;
const lastSeconds = 10;

/**
 * Requests per second that the host can answer beside all renewals, when it refuses three attempts of every other one.
 */
const answerablePerSecond = (requestsPerSecond: number): number => {
    const renewals = grants * renewalCostMilliseconds * 1_000 / renewalMilliseconds;
    const refusingAll = requestsPerSecond * attemptsOfCaller * refusalCostMilliseconds;
    return (1_000 - renewals - refusingAll) / (requestCostMilliseconds - attemptsOfCaller * refusalCostMilliseconds);
};

type Case = { title: string; requestsPerSecond: number; minAnsweredAtEnd: number };

const cases: Case[] = [
    {
        title: "a load within the capacity of the host",
        requestsPerSecond: 360,
        minAnsweredAtEnd: 360 * lastSeconds * 0.95,
    },
    {
        title: "a load of twice the capacity",
        requestsPerSecond: 860,
        minAnsweredAtEnd: answerablePerSecond(860) * lastSeconds * 0.75,
    },
];

for (const { title, requestsPerSecond, minAnsweredAtEnd } of cases) {
    test(`${title}: requests are answered and grants renewed in time again after the machine was slow`, t => {
        const figures = simulate(requestsPerSecond, createLoadShedder({ random: createRandom() }));
        const atEnd = sum(figures.answered.slice(-lastSeconds));
        t.log(
            `answered ${atEnd}, refused ${figures.refused}, renewals ${figures.longestRenewalMilliseconds.join(" ")}`,
        );
        t.true(atEnd >= minAnsweredAtEnd, `${atEnd} answered`);
        const late = figures.longestRenewalMilliseconds.slice(-lastSeconds).filter(longest =>
            longest > holdMilliseconds
        );
        t.deepEqual(late, []);
    });
}

test("without load shedding the host does not recover after the machine was slow", t => {
    const figures = simulate(360, undefined);
    const atEnd = sum(figures.answered.slice(-lastSeconds));
    t.log(`answered ${atEnd}, renewals ${figures.longestRenewalMilliseconds.join(" ")}`);
    t.true(atEnd < 360 * lastSeconds * 0.5, `${atEnd} answered`);
    t.true(figures.longestRenewalMilliseconds[seconds - 1] > holdMilliseconds);
});

test("no request is refused after a single pause", t => {
    const shedder = createLoadShedder({ random: () => 0 });
    [1, 2, 5_000, 1, 2, 1].forEach(late => shedder.recordTick(late, tickMilliseconds + late));
    t.is(shedder.refusedShare(), 0);
    t.false(shedder.refuses(false));
});

test("deferrable requests are refused first", t => {
    const shedder = createLoadShedder({ random: () => 0.5 });
    [60, 60, 60].forEach(late => shedder.recordTick(late, tickMilliseconds + late));
    t.true(shedder.refusedShare() > 0.25 && shedder.refusedShare() < 0.5, String(shedder.refusedShare()));
    t.true(shedder.refuses(true));
    t.false(shedder.refuses(false));
});
