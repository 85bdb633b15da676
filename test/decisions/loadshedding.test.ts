/**
 * Plays the load of a host that is slowed for a while: its event loop takes renewals and requests in the order in which
 * they came, callers give up after their deadline and ask again.
 */
import test from "ava";
import { createLoadShedder, type LoadShedder } from "../../src/decisions/loadshedding.ts";

type Work = { costMilliseconds: number; run: (doneAt: number) => void };

type Figures = {
    /** Requests answered in time in each second. */
    answered: number[];
    refused: number;
    /** Longest time between two renewals of a grant. */
    longestRenewalMilliseconds: number[];
};

const seconds = 45;
const turnMilliseconds = 20;
const renewalMilliseconds = 100;
const grants = 36;
const renewalCost = 0.3;
const requestCost = 2;
const refusalCost = 0.2;
const deadlineMilliseconds = 2_000;
const retryAfterMilliseconds = 300;
const triesOfCaller = 3;
const slowFrom = 5_000;
const slowUntil = 10_000;
const slowFactor = 8;

const createUnit = () => {
    let state = 7;
    return (): number => {
        state = (state * 16_807) % 2_147_483_647;
        return state / 2_147_483_647;
    };
};

/** Plays the load in steps of a millisecond of virtual time. */
const play = (requestsPerSecond: number, pressure: LoadShedder | undefined): Figures => {
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
            costMilliseconds: renewalCost,
            run: doneAt => {
                const second = Math.min(seconds - 1, Math.floor(doneAt / 1_000));
                longestRenewalMilliseconds[second] = Math.max(longestRenewalMilliseconds[second], doneAt - lastAt);
                at(doneAt + renewalMilliseconds, () => renew(doneAt));
            },
        });
    };

    const turn = (dueAt: number): void => {
        queue.push({
            costMilliseconds: 0,
            run: doneAt => {
                pressure?.recordTick(doneAt - dueAt, doneAt - dueAt + turnMilliseconds);
                at(doneAt + turnMilliseconds, () => turn(doneAt + turnMilliseconds));
            },
        });
    };

    const ask = (triesLeft: number): void => {
        const askedAt = now;
        let over = false;
        const again = (after: number): void => {
            over = true;
            if (triesLeft > 1) {
                at(now + after, () => ask(triesLeft - 1));
            }
        };
        at(askedAt + deadlineMilliseconds, () => over || again(0));
        const work: Work = {
            costMilliseconds: refusalCost,
            run: () => {
                if (pressure?.refuses(false) === true) {
                    refused += 1;
                    again(retryAfterMilliseconds);
                    return;
                }
                queue.push({
                    costMilliseconds: requestCost - refusalCost,
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
    at(1, () => turn(now));
    let owed = 0;
    for (now = 0; now < seconds * 1_000; now += 1) {
        timers.get(now)?.forEach(callback => callback());
        timers.delete(now);
        owed += requestsPerSecond / 1_000;
        for (; owed >= 1; owed -= 1) {
            ask(triesOfCaller);
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

/** A grant is held for this long. */
const holdMilliseconds = 400;
const lastSeconds = 10;

/** What is left for answers when the host takes all time for renewals and for refusing three tries of all others. */
const roomBesideRefusals = (requestsPerSecond: number): number => {
    const renewals = grants * renewalCost * 1_000 / renewalMilliseconds;
    const refusingAll = requestsPerSecond * triesOfCaller * refusalCost;
    return (1_000 - renewals - refusingAll) / (requestCost - triesOfCaller * refusalCost);
};

type Case = { title: string; requestsPerSecond: number; leastAnsweredAtEnd: number };

const cases: Case[] = [
    { title: "a load that the host can serve", requestsPerSecond: 360, leastAnsweredAtEnd: 360 * lastSeconds * 0.95 },
    {
        title: "twice of what it can serve",
        requestsPerSecond: 860,
        leastAnsweredAtEnd: roomBesideRefusals(860) * lastSeconds * 0.75,
    },
];

for (const { title, requestsPerSecond, leastAnsweredAtEnd } of cases) {
    test(`${title}: answered again after the machine was slow, grants renewed in time`, t => {
        const figures = play(requestsPerSecond, createLoadShedder({ random: createUnit() }));
        const atEnd = sum(figures.answered.slice(-lastSeconds));
        t.log(
            `answered ${atEnd}, refused ${figures.refused}, renewals ${figures.longestRenewalMilliseconds.join(" ")}`,
        );
        t.true(atEnd >= leastAnsweredAtEnd, `${atEnd} answered`);
        const late = figures.longestRenewalMilliseconds.slice(-lastSeconds).filter(longest =>
            longest > holdMilliseconds
        );
        t.deepEqual(late, []);
    });
}

test("without refusing, the host never recovers from a slow machine", t => {
    const figures = play(360, undefined);
    const atEnd = sum(figures.answered.slice(-lastSeconds));
    t.log(`answered ${atEnd}, renewals ${figures.longestRenewalMilliseconds.join(" ")}`);
    t.true(atEnd < 360 * lastSeconds * 0.5, `${atEnd} answered`);
    t.true(figures.longestRenewalMilliseconds[seconds - 1] > holdMilliseconds);
});

test("a single pause refuses nothing", t => {
    const pressure = createLoadShedder({ random: () => 0 });
    [1, 2, 5_000, 1, 2, 1].forEach(late => pressure.recordTick(late, turnMilliseconds + late));
    t.is(pressure.refusedShare(), 0);
    t.false(pressure.refuses(false));
});

test("what may wait is refused first", t => {
    const pressure = createLoadShedder({ random: () => 0.5 });
    [60, 60, 60].forEach(late => pressure.recordTick(late, turnMilliseconds + late));
    t.true(pressure.refusedShare() > 0.25 && pressure.refusedShare() < 0.5, String(pressure.refusedShare()));
    t.true(pressure.refuses(true));
    t.false(pressure.refuses(false));
});
