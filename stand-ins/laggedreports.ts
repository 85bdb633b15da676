/**
 * The state and load that the health and load endpoints of a stand-in target report. They lag or are wrong as the
 * target's faults demand.
 */
import { type TargetHealth, type TargetLoadReport, targetStates } from "../src/contracts/targetprotocol.ts";
import type { TargetFaults } from "./targetfaults.ts";

/** The state and load at a time in milliseconds. */
type Sample = { at: number; state: TargetHealth["state"]; load: TargetLoadReport };

export type LaggedReports = {
    /** Records the current load and returns the state to report. */
    state: (load: TargetLoadReport) => TargetHealth["state"];
    /** Records the current load and returns the load to report. */
    load: (load: TargetLoadReport) => TargetLoadReport;
};

const maxSamples = 200;

/** Creates the reports of one incarnation. */
export const createLaggedReports = (faults: TargetFaults, clock: () => number): LaggedReports => {
    let samples: Sample[] = [];

    /** Records a sample and returns the newest one that is at least as old as the lag, or else the oldest. */
    const takeLagged = (load: TargetLoadReport): Sample => {
        const now = clock();
        samples.push({ at: now, state: faults.draining ? targetStates.draining : targetStates.ready, load });
        samples = samples.slice(-maxSamples);
        return samples.filter(sample => sample.at <= now - faults.lagMilliseconds).at(-1) ?? samples[0];
    };

    return {
        state: load => faults.healthSays === "" ? takeLagged(load).state : faults.healthSays,
        load: load => {
            const { running, queued } = takeLagged(load).load;
            return {
                running: Math.round(running * faults.loadFactor),
                queued: Math.round(queued * faults.loadFactor),
            };
        },
    };
};
