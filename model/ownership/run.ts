/**
 * Explores ownership at all its sizes and tells what was found, one line a size.
 */
import { exploreAll, exploreSampled } from "../explore.ts";
import type { Report } from "../report.ts";
import { createOwnershipModel } from "./model.ts";
import { findProgressFailure } from "./progress.ts";
import { rules } from "./rules.ts";
import { exhaustiveSizes, sampledSizes } from "./sizes.ts";
import type { Size } from "./state.ts";

/** Every this many states one is checked for progress. */
const progressStride = 20;

const exploreExhaustively = (size: Size): Report => {
    const specification = { size, rules };
    const exploration = exploreAll(createOwnershipModel(specification));
    let healed = 0;
    let failure: string | undefined;
    for (let index = 0; index < exploration.reachedStates.length && failure === undefined; index += progressStride) {
        failure = findProgressFailure(specification, exploration.reachedStates[index]);
        healed += 1;
    }
    return {
        name: `ownership, ${size.name}`,
        exploration,
        notes: `progress from ${healed} of them`,
        failure,
    };
};

/** Runs all sizes in turn. */
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
