/**
 * A host's view of one target: the link to it, its clock, incarnation and state, and the host's requests there.
 */
import type { Target } from "../contracts/pool.ts";
import { type TargetHealth, targetStates } from "../contracts/targetprotocol.ts";
import type { ProbeRecord } from "../decisions/detect.ts";
import type { Descriptors } from "../links/descriptors.ts";
import { createTargetLink, type TargetLink } from "../links/targets.ts";

export type TargetView = {
    readonly pool: string;
    readonly target: Target;
    readonly link: TargetLink;
    /** Newest incarnation seen; undefined before the first answer. */
    incarnation: string | undefined;
    /** Highest reading of the target's own clock under this incarnation. */
    clockReading: number;
    /** Number of this host's requests that run or wait at the target. */
    outstanding: number;
    /** Revision under which the target last accepted a grant from this host. */
    grantedRevision: number;
    /** Monotonic time of the target's last answer of any kind; undefined before the first. */
    lastAnswerAt: number | undefined;
    /** Number of failures since the last answer: refused or broken connections and missed deadlines. */
    failures: number;
    /** Monotonic time of the first failure since the last answer. */
    failingSince: number | undefined;
    /** Monotonic time at which the target last refused a request because it is draining. */
    drainingRefusalAt: number | undefined;
    /** State by the target's own report. */
    state: TargetHealth["state"];
    /** How the target answers the probes of the renewer. */
    readonly probe: ProbeRecord;
    /** Waiting requests divided by concurrency, by the target's own report, which lags; undefined without a report. */
    reportedQueueRatio: number | undefined;
};

export type TargetViews = {
    /** The view of a target, created on first use and again when its address changes. */
    of: (pool: string, target: Target) => TargetView;
    /** Closes the links to all targets. */
    close: () => Promise<void>;
};

const connectMilliseconds = 500;
/** The state that the health endpoint gives may be this old. */
const healthLagMilliseconds = 5_000;

/** Records the clock and incarnation in an answer of the target. A new incarnation has accepted no grant yet. */
export const recordClockReading = (view: TargetView, incarnation: string, clockReading: number): void => {
    if (view.incarnation !== incarnation) {
        view.incarnation = incarnation;
        view.clockReading = clockReading;
        view.grantedRevision = 0;
        return;
    }
    view.clockReading = Math.max(view.clockReading, clockReading);
};

/** Records an answer of any kind, which shows that the target can be reached. */
export const recordAnswer = (view: TargetView, now: number): void => {
    view.lastAnswerAt = now;
    view.failures = 0;
    view.failingSince = undefined;
};

/** Records a refused or broken connection or a missed deadline. */
export const recordFailure = (view: TargetView, now: number): void => {
    view.failures += 1;
    view.failingSince ??= now;
};

/** Weight of a new probe in the smoothed time to answer. */
const answerSmoothing = 0.2;

/** Records that the renewer's probe sent at `askedAt` was answered. Times are monotonic milliseconds. */
export const recordProbeAnswer = (view: TargetView, askedAt: number, now: number): void => {
    const { probe } = view;
    probe.unansweredSince = undefined;
    probe.failures = 0;
    probe.answerMilliseconds += (now - askedAt - probe.answerMilliseconds) * answerSmoothing;
    recordAnswer(view, now);
};

/** Records that the target refused a request because it is draining. Its health endpoint may not show this yet. */
export const recordDraining = (view: TargetView, now: number): void => {
    view.drainingRefusalAt = now;
    view.state = targetStates.draining;
};

/** Records the state that the health endpoint gives. A recent refusal overrides it, because the endpoint lags. */
export const recordHealth = (view: TargetView, state: TargetHealth["state"], now: number): void => {
    const isRefusalOld = view.drainingRefusalAt === undefined || now - view.drainingRefusalAt >= healthLagMilliseconds;
    if (isRefusalOld || state === targetStates.draining) {
        view.state = state;
    }
};

/**
 * Creates the target views of one host.
 *
 * @param connectionsOf how many connections this host may open to a target.
 * @param sourceAddress local address of these connections.
 * @param descriptors counts these connections.
 */
export const createTargetViews = (
    connectionsOf: (target: Target) => number,
    sourceAddress?: string,
    descriptors?: Descriptors,
): TargetViews => {
    const views = new Map<string, TargetView>();
    return {
        of: (pool, target) => {
            const id = `${pool}/${target.name}`;
            const known = views.get(id);
            if (known !== undefined && known.target.address === target.address) {
                return known;
            }
            void known?.link.close();
            const view: TargetView = {
                pool,
                target,
                link: createTargetLink({
                    address: target.address,
                    connections: connectionsOf(target),
                    connectMilliseconds,
                    sourceAddress,
                    descriptors,
                }),
                incarnation: undefined,
                clockReading: 0,
                outstanding: 0,
                grantedRevision: 0,
                lastAnswerAt: undefined,
                failures: 0,
                failingSince: undefined,
                drainingRefusalAt: undefined,
                state: targetStates.ready,
                probe: { unansweredSince: undefined, failures: 0, answerMilliseconds: 0 },
                reportedQueueRatio: undefined,
            };
            views.set(id, view);
            return view;
        },
        close: async () => {
            await Promise.all([...views.values()].map(view => view.link.close()));
        },
    };
};
