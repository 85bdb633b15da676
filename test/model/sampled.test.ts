/**
 * The models of claims and of versions in force, explored along walks with fixed seeds: each deliberate break of a rule
 * is found, and the unbroken rules violate nothing.
 */
import test from "ava";
import { claimBreaks, createClaimModel } from "../../model/claims/model.ts";
import { claimRules } from "../../model/claims/transitions.ts";
import { exploreSampled } from "../../model/explore.ts";
import { createVersionModel, versionBreaks } from "../../model/versions/model.ts";
import { versionRules } from "../../model/versions/transitions.ts";

for (const { title, rules, prefix } of claimBreaks) {
    test(`a break of claims is found: ${title}`, t => {
        const model = createClaimModel({ ...claimRules, ...rules }, prefix);
        t.truthy(exploreSampled(model, { seed: 2_000, walks: 10_000, length: 40 }).violation);
    });
    test(`the unbroken rules of claims hold from where this break starts: ${title}`, t => {
        const model = createClaimModel(claimRules, prefix);
        t.is(exploreSampled(model, { seed: 2_000, walks: 300, length: 40 }).violation, undefined);
    });
}

for (const { title, rules } of versionBreaks) {
    test(`a break of versions in force is found: ${title}`, t => {
        const model = createVersionModel({ ...versionRules, ...rules });
        t.truthy(exploreSampled(model, { seed: 3_000, walks: 10_000, length: 50 }).violation);
    });
}

test("the unbroken rules of versions in force hold along sampled walks", t => {
    const model = createVersionModel(versionRules);
    t.is(exploreSampled(model, { seed: 3_001, walks: 300, length: 50 }).violation, undefined);
});
