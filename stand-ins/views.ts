/**
 * What the health and load endpoints of a stand-in target say: the state and load of some time ago, or a lie.
 */
import { type TargetHealth, type TargetLoadReport, targetStates } from "../src/contracts/targetprotocol.ts";
import type { TargetFaults } from "./targetfaults.ts";

type View = { at: number; state: TargetHealth["state"]; load: TargetLoadReport };

export type LaggedViews = {
    state: (load: TargetLoadReport) => TargetHealth["state"];
    load: (load: TargetLoadReport) => TargetLoadReport;
};

const keptViews = 200;

/** Creates the views of one incarnation. Each call notes the load that it is given. */
export const createLaggedViews = (faults: TargetFaults, clock: () => number): LaggedViews => {
    let views: View[] = [];

    const lagged = (load: TargetLoadReport): View => {
        const now = clock();
        views.push({ at: now, state: faults.draining ? targetStates.draining : targetStates.ready, load });
        views = views.slice(-keptViews);
        return views.filter(view => view.at <= now - faults.lagMilliseconds).at(-1) ?? views[0];
    };

    return {
        state: load => faults.healthSays === "" ? lagged(load).state : faults.healthSays,
        load: load => {
            const { running, queued } = lagged(load).load;
            return {
                running: Math.round(running * faults.loadFactor),
                queued: Math.round(queued * faults.loadFactor),
            };
        },
    };
};
