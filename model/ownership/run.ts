/**
 * Explores the specification of ownership at all its sizes.
 */
import { exploreAll, exploreSampled } from "../explore.ts";
import type { Report } from "../report.ts";
import { createOwnershipModel } from "./model.ts";
import { findProgressFailure } from "./progress.ts";
import { rules } from "./rules.ts";
import { exhaustiveSizes, sampledSizes } from "./sizes.ts";
import type { Size } from "./state.ts";

/** Progress is checked from every 20th state. */
const statesPerProgressCheck = 20;

const exploreExhaustively = (size: Size): Report => {
    const specification = { size, rules };
    const exploration = exploreAll(createOwnershipModel(specification));
    let progressChecks = 0;
    let failure: string | undefined;
    for (
        let index = 0;
        index < exploration.reachedStates.length && failure === undefined;
        index += statesPerProgressCheck
    ) {
        failure = findProgressFailure(specification, exploration.reachedStates[index]);
        progressChecks += 1;
    }
    return {
        name: `ownership, ${size.name}`,
        exploration,
        notes: `progress from ${progressChecks} of them`,
        failure,
    };
};

/** Explores all sizes in turn, the large ones along walks with fixed seeds. */
export const runOwnership = function*(): Generator<Report> {
    for (const size of exhaustiveSizes) {
        yield exploreExhaustively(size);
    }
    for (const [index, size] of sampledSizes.entries()) {
        const seed = 1_000 + index;
        const walks = { seed, walks: 150, length: 200 };
        const exploration = exploreSampled(createOwnershipModel({ size, rules }), walks);
        yield {
            name: `ownership, ${size.name}`,
            exploration,
            notes: `${walks.walks} walks of ${walks.length} steps, seed ${seed}`,
            failure: undefined,
        };
    }
};
