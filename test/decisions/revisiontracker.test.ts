import test from "ava";
import { createRevisionTracker } from "../../src/decisions/revisiontracker.ts";

type Confirmation = { revision: number; sentAt: number; forMilliseconds: number };

const cases: Array<{ title: string; confirmations: Confirmation[]; revision: number; now: number; remaining: number }> =
    [
        { title: "nothing confirmed", confirmations: [], revision: 1, now: 0, remaining: 0 },
        {
            title: "a confirmation counts from the sending of the question",
            confirmations: [{ revision: 1, sentAt: 100, forMilliseconds: 500 }],
            revision: 1,
            now: 400,
            remaining: 200,
        },
        {
            title: "a confirmation ends at its deadline",
            confirmations: [{ revision: 1, sentAt: 100, forMilliseconds: 500 }],
            revision: 1,
            now: 600,
            remaining: 0,
        },
        {
            title: "an older confirmation does not shorten a newer one",
            confirmations: [
                { revision: 1, sentAt: 100, forMilliseconds: 500 },
                { revision: 1, sentAt: 0, forMilliseconds: 500 },
            ],
            revision: 1,
            now: 500,
            remaining: 100,
        },
        {
            title: "a lower revision is ignored",
            confirmations: [
                { revision: 2, sentAt: 100, forMilliseconds: 500 },
                { revision: 1, sentAt: 400, forMilliseconds: 500 },
            ],
            revision: 1,
            now: 500,
            remaining: 0,
        },
        {
            title: "a higher revision ends the validity of the lower one",
            confirmations: [
                { revision: 1, sentAt: 100, forMilliseconds: 500 },
                { revision: 2, sentAt: 150, forMilliseconds: 500 },
            ],
            revision: 1,
            now: 200,
            remaining: 0,
        },
    ];

for (const { title, confirmations, revision, now, remaining } of cases) {
    test(title, t => {
        const tracker = createRevisionTracker();
        for (const { revision: confirmed, sentAt, forMilliseconds } of confirmations) {
            tracker.confirm("orders", confirmed, sentAt, forMilliseconds);
        }
        t.is(tracker.remaining("orders", revision, now), remaining);
        t.is(tracker.isCurrent("orders", revision, now), remaining > 0);
    });
}
