import test from "ava";
import { readFileSync } from "node:fs";
import { reasons, retryReasons } from "../../src/contracts/outcome.ts";
import { reasonOfFailure, reasonOfRefusal, stopCauses } from "../../src/decisions/failurereasons.ts";

const page = readFileSync(new URL("../../docs/requests.md", import.meta.url), "utf8");
const rows = page.split("\n").filter(line => line.includes("`refusals{reason="));

test("the documentation lists every reason with its properties, and no other", t => {
    const expected = Object.entries(reasons).map(([name, reason]) => {
        const resend = reason.sendAgain ? "yes" : "no";
        const counter = `\`refusals{reason=${name}}\``;
        return `| \`${name}\` | ${reason.outcome} | ${reason.statusCode} | ${resend} | ${counter} | ${reason.title} |`;
    });
    t.deepEqual(rows, expected);
});

test("the documentation of metrics lists every retry reason", t => {
    const metrics = readFileSync(new URL("../../docs/operations/metrics.md", import.meta.url), "utf8");
    for (const reason of Object.values(retryReasons)) {
        t.true(metrics.includes(`\`${reason}\``), reason);
    }
});

const stages = ["unsent", "sent", "answering"] as const;

test("a request counts as not run only when it was not sent or the target refused it", t => {
    for (const stage of stages) {
        for (const stopped of [undefined, ...Object.values(stopCauses)]) {
            for (const isMalformed of [false, true]) {
                const reason = reasonOfFailure({ stage, code: "UND_ERR_SOCKET", isMalformed, stopped });
                t.is(reasons[reason].outcome, stage === "unsent" ? "not-run" : "unknown", `${stage} ${stopped}`);
            }
        }
    }
    for (const refusal of ["fence", "no-grant", "shed", "draining", "deadline", "cancelled", "", "other"]) {
        t.is(reasons[reasonOfRefusal(refusal)].outcome, "not-run");
    }
});
