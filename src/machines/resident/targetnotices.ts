/**
 * How targets want to be used, as they say in their answers: that they leave, a limit on the requests of all hosts, a
 * time for which they want none from this host.
 */
import type { TargetNotice } from "../../contracts/resident.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import type { TargetState } from "./targetstates.ts";

export type TargetNotices = {
    /** Takes in what an answer of the target says. */
    record: (state: TargetState, notice: TargetNotice) => void;
};

export type TargetNoticesOptions = { log: Log; metrics: Metrics };

/** Creates the notices of one host. */
export const createTargetNotices = ({ log, metrics }: TargetNoticesOptions): TargetNotices => {
    /** What each incarnation of a target said last; the pauses are not compared, since they shrink as time passes. */
    const known = new WeakMap<TargetState, string>();

    return {
        record: (state, { leaving, limitPerSecond, pauseMilliseconds }) => {
            const summary = `${leaving} ${limitPerSecond} ${pauseMilliseconds !== undefined}`;
            if (summary === (known.get(state) ?? "false none false")) {
                return;
            }
            known.set(state, summary);
            const { name, pool, incarnation } = state.target;
            metrics.count("target-notices", { pool });
            log.info("target-notice", { target: name, pool, incarnation, leaving, limitPerSecond, pauseMilliseconds });
        },
    };
};
