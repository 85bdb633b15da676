/**
 * Each deliberate break of a rule of holds leads to two targets that hold the key. A break that is not found would mean
 * that the model can not fail.
 */
import test from "ava";
import { exploreAll } from "../../model/explore.ts";
import { createHoldModel, holdBreaks } from "../../model/holds/model.ts";
import { holdRules } from "../../model/holds/transitions.ts";

/** Number of states within which every break is found. */
const maxStates = 60_000;

for (const { title, rules, prefix, returnsLeft } of holdBreaks) {
    test(`a break of holds is found: ${title}`, t => {
        const { violation, trace } = exploreAll(
            createHoldModel({ ...holdRules, ...rules }, prefix, returnsLeft),
            maxStates,
        );
        t.truthy(violation);
        t.log(trace?.map(event => Object.values(event).join(" ")).join(", "));
    });
}
