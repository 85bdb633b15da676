/**
 * The linter finds comparisons of places in the store's history, terms and fences that would be wrong across eras.
 */
import test from "ava";
import { ESLint } from "eslint";

type Case = { title: string; file: string; code: string; findings: number };

const resident = "src/machines/resident/statecache.ts";
const cases: Case[] = [
    { title: "members", file: resident, code: "left.revision < right.revision", findings: 2 },
    { title: "a default", file: resident, code: "(known?.revision ?? 0) >= 3", findings: 1 },
    { title: "a call's result", file: resident, code: "cache.position(kind) > 3", findings: 1 },
    { title: "longer names", file: resident, code: "knownPosition <= 3 || highestFence > 3", findings: 2 },
    { title: "the highest", file: resident, code: "Math.max(known, list.position)", findings: 1 },
    { title: "the lowest", file: resident, code: "Math.min(...ranges.map(({ fence }) => fence))", findings: 3 },
    { title: "an order", file: resident, code: "ranges.sort((left, right) => left.fence - right.fence)", findings: 2 },
    { title: "terms, in decisions", file: "src/decisions/lease.ts", code: "known.term > read.term", findings: 2 },
    { title: "revisions, at the platform", file: "platform/store.ts", code: "reply.revision > known", findings: 1 },
    { title: "equal ones", file: resident, code: "left.revision === right.revision", findings: 0 },
    { title: "its own functions", file: resident, code: "isLater(left.revision, right.revision)", findings: 0 },
    { title: "what is looked up by one", file: resident, code: "now - (movedAt.get(range.fence) ?? 0)", findings: 0 },
    { title: "other names", file: resident, code: "held.longTerm < table.version", findings: 0 },
    { title: "the history itself", file: "src/contracts/storehistory.ts", code: "left.term < right.term", findings: 0 },
];

/** Without the rules that need the types of a whole program. */
const rule = "no-restricted-syntax";

for (const { title, file, code, findings } of cases) {
    test(`comparisons of places: ${title}: ${findings} findings`, async t => {
        const configured = await new ESLint().calculateConfigForFile(file) as { rules: Record<string, unknown> };
        const linter = new ESLint({
            overrideConfigFile: true,
            overrideConfig: { rules: { [rule]: configured.rules[rule] as never } },
        });
        const [{ messages }] = await linter.lintText(`${code};\n`);
        t.deepEqual(messages.map(({ ruleId }) => ruleId), Array.from({ length: findings }, () => rule));
    });
}
