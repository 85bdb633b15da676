import test from "ava";
import { compareScores, findEarlier, type ScoreEntry } from "../../bench/scorechange.ts";

const noise = { score: 0.03, day: 0.06 };
const day = (part: Partial<ScoreEntry["days"][number]>): ScoreEntry["days"][number] => ({
    name: "quiet-1",
    G: 0.8,
    rules: {},
    fault: undefined,
    ...part,
});
const entry = (part: Partial<ScoreEntry>): ScoreEntry => ({
    id: "a",
    at: ["2026-01-02T00:00:00Z", "2026-01-02T00:01:00Z"],
    cmd: "score",
    argv: ["pier.toml", "--quick", "--no-cpu"],
    head: "0123456789",
    site: "pier",
    ok: true,
    score: 0.9,
    figures: { gate: 1 },
    days: [day({})],
    ...part,
});

const changeCases: Array<{ title: string; after: Partial<ScoreEntry>; worse: string[] }> = [
    { title: "nothing changed", after: {}, worse: [] },
    { title: "falls within noise", after: { score: 0.88, days: [day({ G: 0.75 })] }, worse: [] },
    { title: "rises", after: { score: 1, days: [day({ G: 0.9 })] }, worse: [] },
    { title: "a score that fell", after: { score: 0.85 }, worse: ["the score fell by 0.050"] },
    { title: "a site that was not scored", after: { score: undefined }, worse: ["the score fell by 0.900"] },
    { title: "a day whose worth fell", after: { days: [day({ G: 0.7 })] }, worse: ["worth fell by 0.100"] },
    { title: "a day without a worth", after: { days: [day({ G: undefined })] }, worse: ["worth fell by 0.800"] },
    { title: "a broken rule", after: { days: [day({ rules: { LOST: 1 } })] }, worse: ["broken: LOST"] },
    { title: "a day that ended early", after: { days: [day({ fault: "too slow" })] }, worse: ["fault: too slow"] },
    { title: "a gate that failed", after: { figures: { gate: 0 } }, worse: ["the gate failed"] },
    { title: "a run that was not completed", after: { ok: false }, worse: ["the run was not completed"] },
    { title: "a day that is missing", after: { days: [] }, worse: ["not played"] },
    { title: "a day drawn anew", after: { days: [day({}), day({ name: "mix --seed 7", G: 0.1 })] }, worse: [] },
];

for (const { title, after, worse } of changeCases) {
    test(`a comparison of scores tells ${title}`, t => {
        const changes = compareScores(entry({}), entry({ id: "b", ...after }), noise);
        t.deepEqual(changes.flatMap(change => change.worse), worse);
    });
}

test("a rule that was broken before, and a day drawn for one score only, are no regressions", t => {
    const before = entry({ days: [day({ rules: { LOST: 1 } }), day({ name: "mix --seed 3" })] });
    t.deepEqual(
        compareScores(before, entry({ days: [day({ rules: { LOST: 1 } })] }), noise).flatMap(({ worse }) => worse),
        [],
    );
});

test("the earlier score is the last one of the same site, days and charges", t => {
    const at = (time: string): ScoreEntry["at"] => [time, time];
    const journal = [
        entry({ id: "older", at: at("2026-01-01T01:00:00Z") }),
        entry({ id: "wanted", at: at("2026-01-01T02:00:00Z"), argv: ["--no-cpu", "pier.toml", "--quick"] }),
        entry({ id: "full", at: at("2026-01-01T03:00:00Z"), argv: ["pier.toml", "--no-cpu"] }),
        entry({ id: "charged", at: at("2026-01-01T03:00:00Z"), argv: ["pier.toml", "--quick"] }),
        entry({ id: "other-site", at: at("2026-01-01T03:00:00Z"), site: "quay" }),
        entry({ id: "hunt", at: at("2026-01-01T03:00:00Z"), cmd: "hunt" }),
        entry({ id: "not-scored", at: at("2026-01-01T03:00:00Z"), score: undefined }),
        entry({ id: "later", at: at("2026-01-03T00:00:00Z") }),
    ];
    t.is(findEarlier(entry({ id: "new" }), journal)?.id, "wanted");
    t.is(findEarlier(entry({ id: "new", at: at("2025-01-01T00:00:00Z") }), journal), undefined);
});
