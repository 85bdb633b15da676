/**
 * Explores every specification, prints a line for each, and exits with 1 when a property is violated.
 */
import { runClaims } from "./claims/model.ts";
import { runHolds, runHoldsAfterReturn } from "./holds/model.ts";
import { runOwnership } from "./ownership/run.ts";
import { formatReport, hasFailed, type Report } from "./report.ts";
import { runVersions } from "./versions/model.ts";

const runAll = function*(): Generator<Report> {
    yield* runOwnership();
    yield runClaims();
    yield runVersions();
    yield runHolds();
    yield* runHoldsAfterReturn();
};

let states = 0;
let failed = false;
for (const report of runAll()) {
    states += report.exploration.stateCount;
    failed ||= hasFailed(report);
    process.stdout.write(`${formatReport(report)}\n`);
}
process.stdout.write(`${states} states in all, ${failed ? "a property is violated" : "no property is violated"}\n`);
process.exitCode = failed ? 1 : 0;
