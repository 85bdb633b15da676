/**
 * Service times from the measurements of all hosts. Guards against estimates that follow a single slow answer, that miss a
 * target which is slower than its pool, and that one host can falsify.
 */
import test from "ava";
import { createServiceTimes } from "../../src/decisions/servicetimes.ts";
import {
    createMeasureLimit,
    createPendingMeasures,
    createTargetMeasures,
    estimateServiceMilliseconds,
    limitMean,
    type OwnService,
    scaleServiceMilliseconds,
    type ServiceFigure,
    type TargetMeasure,
} from "../../src/decisions/targetmeasures.ts";

const answers = (answered: number, milliseconds: number): TargetMeasure => ({
    answered,
    serviceMilliseconds: answered * milliseconds,
    failed: 0,
});
const figure = (milliseconds: number, weight: number): ServiceFigure => ({ milliseconds, weight, ageMilliseconds: 0 });

type Estimate = { title: string; fleet?: ServiceFigure; own?: OwnService; atLeast: number; atMost: number };
const estimates: Estimate[] = [
    { title: "nothing known is the median", atLeast: 200, atMost: 200 },
    { title: "one slow answer hardly counts", fleet: figure(1_600, 1), atLeast: 200, atMost: 250 },
    { title: "one own slow answer hardly counts", own: { milliseconds: 1_600, answers: 1 }, atLeast: 200, atMost: 250 },
    { title: "many own answers up to twice", own: { milliseconds: 1_600, answers: 99 }, atLeast: 400, atMost: 400 },
    { title: "a target that is three times slower", fleet: figure(600, 30), atLeast: 550, atMost: 600 },
    { title: "a target that is five times slower", fleet: figure(1_000, 30), atLeast: 900, atMost: 1_000 },
    { title: "a target that is three times faster", fleet: figure(70, 30), atLeast: 70, atMost: 90 },
    {
        title: "few answers of others count less than some own",
        fleet: figure(1_600, 1),
        own: { milliseconds: 200, answers: 4 },
        atLeast: 200,
        atMost: 200,
    },
];
for (const { title, fleet, own, atLeast, atMost } of estimates) {
    test(`estimate with a median of 200 ms: ${title}`, t => {
        const estimate = estimateServiceMilliseconds(fleet, own, 200);
        t.true(estimate >= atLeast && estimate <= atMost, String(estimate));
    });
}

const scales: Array<[title: string, estimate: number, scale: number, expected: number]> = [
    ["as usual", 300, 1, 300],
    ["a target known as usual says that it is slow", 200, 3, 600],
    ["a slow one whose slowness is known already", 600, 3, 600],
    ["a slow one says that it is fast again", 600, 0.5, 300],
];
for (const [title, estimate, scale, expected] of scales) {
    test(`scale with a median of 200 ms: ${title}`, t =>
        t.is(scaleServiceMilliseconds(estimate, 200, scale), expected));
}

test("a figure follows a target that turns four times slower within 4 s, loses its weight in a minute, and is adopted only if heavier", t => {
    const measures = createTargetMeasures();
    for (let now = 0; now < 20_000; now += 500) {
        measures.record(1, answers(3, 200), now);
    }
    t.is(Math.round(measures.figure(1, 20_000)?.milliseconds ?? 0), 200);
    for (let now = 20_000; now < 24_000; now += 500) {
        measures.record(1, answers(3, 800), now);
    }
    t.true((measures.figure(1, 24_000)?.milliseconds ?? 0) > 350);
    measures.adopt(1, answers(1, 9_000), 24_000);
    t.true((measures.figure(1, 24_000)?.milliseconds ?? 0) < 1_000);
    t.true((measures.figure(1, 90_000)?.weight ?? 1) < 1);
    measures.adopt(1, answers(30, 9_000), 90_000);
    t.is(measures.figure(1, 90_000)?.milliseconds, 9_000);
});

test("one source counts with a bounded number of answers a second, and with a mean near the median", t => {
    const limit = createMeasureLimit({ perSecond: 0.5, burst: 2 }, { perSecond: 40, burst: 80 });
    let counted = 0;
    for (let now = 0; now < 20_000; now += 100) {
        counted += limit(1, answers(1_000, 200), now)?.answered ?? 0;
    }
    t.true(counted >= 10 && counted <= 12, String(counted));
    let ofAll = 0;
    for (let id = 100; id < 1_000; id += 1) {
        ofAll += limit(id, answers(1_000, 200), 20_000)?.answered ?? 0;
    }
    t.is(ofAll, 80);
    t.is(limitMean(answers(2, 90_000), 200).serviceMilliseconds, 2_400);
    t.is(limitMean(answers(2, 1), 240).serviceMilliseconds, 80);
});

test("measures are due each half second, changes of level at once, and at most 300 a second; old ones never", t => {
    const pending = createPendingMeasures(() => 200);
    const sendAt = (now: number): number => {
        const due = pending.due(now);
        pending.markSent(due, now);
        return due.length;
    };
    t.is(sendAt(0), 0, "nothing at rest");
    pending.add(1, answers(1, 200), 600);
    t.is(sendAt(700), 1);
    pending.add(1, answers(1, 900), 800);
    t.is(sendAt(820), 0, "one slow answer is no change of level");
    pending.add(1, answers(2, 900), 900);
    t.is(sendAt(940), 1);
    t.is(sendAt(5_000), 0);
    for (let id = 0; id < 1_000; id += 1) {
        pending.add(id, answers(1, 200), 5_000);
    }
    let sent = 0;
    for (let now = 5_000; now < 6_000; now += 120) {
        sent += sendAt(now);
    }
    t.true(sent > 100 && sent <= 450, String(sent));
    t.is(sendAt(9_000), 0, "what waited for 4 s is dropped");
});

test("a coordinator without measurements plans with the service time that all hosts know", t => {
    const times = createServiceTimes(target => target === "known" ? 500 : undefined);
    t.is(times.capacity("known", 2), 4);
    times.recordServiceTime("other", 100);
    t.is(times.capacity("other", 2), 20);
});
