/**
 * What the health and load endpoints of a stand-in target say: the state and load of some time ago, or a lie.
 */
import { type TargetHealth, type TargetLoad, targetStates } from "../src/contracts/targetprotocol.ts";
import type { TargetFaults } from "./targetfaults.ts";

type View = { at: number; state: TargetHealth["state"]; load: TargetLoad };

export type LaggedReports = {
    state: (load: TargetLoad) => TargetHealth["state"];
    load: (load: TargetLoad) => TargetLoad;
};

const keptViews = 200;

/** Creates the views of one incarnation. Each call notes the load that it is given. */
export const createLaggedReports = (faults: TargetFaults, clock: () => number): LaggedReports => {
    let views: View[] = [];

    const lagged = (load: TargetLoad): View => {
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
