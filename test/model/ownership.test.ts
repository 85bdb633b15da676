/**
 * The model of ownership: each deliberate break of a rule is found, exploration is deterministic, and the slot gets and
 * keeps its owner without faults and during an outage of the platform.
 */
import test from "ava";
import { exploreAll, exploreSampled } from "../../model/explore.ts";
import { breaks } from "../../model/ownership/breaks.ts";
import { createOwnershipModel } from "../../model/ownership/model.ts";
import { findProgressFailure, staysOwnedDuringOutage } from "../../model/ownership/progress.ts";
import { type Rules, rules } from "../../model/ownership/rules.ts";
import { exhaustiveSizes, sampledSizes } from "../../model/ownership/sizes.ts";
import { initialState } from "../../model/ownership/state.ts";

/** Number of states within which every break is found. */
const maxStates = 60_000;

for (const { title, rules: broken, size, prefix } of breaks) {
    test(`a break is found: ${title}`, t => {
        const { violation, trace } = exploreAll(
            createOwnershipModel({ size, rules: { ...rules, ...broken } as Rules }, prefix),
            maxStates,
        );
        t.truthy(violation);
        const unbroken = createOwnershipModel({ size, rules }, prefix);
        const end = (trace ?? []).reduce((state, event) => unbroken.nextState(state, event), unbroken.initial);
        t.is(end.violation, undefined, "The same events must violate no property under the unbroken rules.");
    });
}

test("exploring the smallest size twice reaches the same number of states", t => {
    const { stateCount: states, complete, violation } = exploreAll(
        createOwnershipModel({ size: exhaustiveSizes[4], rules }),
    );
    t.true(complete);
    t.is(violation, undefined);
    const again = exploreAll(createOwnershipModel({ size: exhaustiveSizes[4], rules }));
    t.is(again.stateCount, states);
});

test("sampled walks find no violation and depend only on their seed", t => {
    const model = createOwnershipModel({ size: sampledSizes[0], rules });
    const first = exploreSampled(model, { seed: 1, walks: 5, length: 60 });
    const second = exploreSampled(model, { seed: 1, walks: 5, length: 60 });
    t.is(first.violation, undefined);
    t.is(first.stateCount, second.stateCount);
});

test("without faults the slot gets its owner at every size", t => {
    for (const size of [...exhaustiveSizes, ...sampledSizes]) {
        const specification = { size, rules };
        t.is(findProgressFailure(specification, initialState(specification)), undefined, size.name);
    }
});

test("the check of progress can fail: a move that is never released leaves the slot without its owner", t => {
    const size = exhaustiveSizes[0];
    const broken = { size, rules: { ...rules, releaseTime: () => undefined } };
    const model = createOwnershipModel(broken, [{ type: "write", host: "h1", change: "force" }]);
    t.truthy(findProgressFailure(broken, model.initial));
});

const outages: Array<{ title: string; restarted: string[]; owned: boolean }> = [
    { title: "no host restarts", restarted: [], owned: true },
    { title: "a renewer restarts", restarted: ["h1"], owned: true },
    { title: "all renewers restart", restarted: ["h1", "h2", "h3"], owned: false },
];

for (const { title, restarted, owned } of outages) {
    test(`platform out, ${title}: the slot ${owned ? "stays" : "does not stay"} owned`, t => {
        const size = { ...sampledSizes[0], witnesses: sampledSizes[0].hosts, vouchersApart: false };
        const specification = { size, rules };
        const model = createOwnershipModel(specification, restarted.map(host => ({ type: "restart-host", host })));
        t.is(staysOwnedDuringOutage(specification, model.initial, 20), owned);
    });
}
