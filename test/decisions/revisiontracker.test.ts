import test from "ava";
import { createRevisionTracker } from "../../src/decisions/revisiontracker.ts";

type Confirmation = { revision: number; sentAt: number; forMilliseconds: number };

const cases: Array<{ title: string; confirmations: Confirmation[]; revision: number; now: number; remaining: number }> =
    [
        { title: "nothing confirmed", confirmations: [], revision: 1, now: 0, remaining: 0 },
        {
            title: "counts from the sending",
            confirmations: [{ revision: 1, sentAt: 100, forMilliseconds: 500 }],
            revision: 1,
            now: 400,
            remaining: 200,
        },
        {
            title: "ends at the deadline",
            confirmations: [{ revision: 1, sentAt: 100, forMilliseconds: 500 }],
            revision: 1,
            now: 600,
            remaining: 0,
        },
        {
            title: "an older confirmation never shortens",
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
            title: "a higher revision ends the lower one",
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
        const currency = createRevisionTracker();
        for (const { revision: confirmed, sentAt, forMilliseconds } of confirmations) {
            currency.confirm("orders", confirmed, sentAt, forMilliseconds);
        }
        t.is(currency.remaining("orders", revision, now), remaining);
        t.is(currency.isCurrent("orders", revision, now), remaining > 0);
    });
}
