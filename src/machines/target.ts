/**
 * One target as this host sees it: its link, its clock and incarnation, and the requests that this host has there.
 */
import type { Target } from "../contracts/pool.ts";
import { type TargetHealth, targetStates } from "../contracts/targetprotocol.ts";
import type { ProbeRecord } from "../decisions/detect.ts";
import { createTargetLink, type TargetLink } from "../links/targets.ts";

export type TargetView = {
    readonly pool: string;
    readonly target: Target;
    readonly link: TargetLink;
    /** Newest incarnation seen; undefined before the first answer. */
    incarnation: string | undefined;
    /** The target's own clock in its newest answer. */
    clockReading: number;
    /** Requests of this host that run or wait there. */
    outstanding: number;
    /** Revision under which this host last had a grant accepted. */
    grantedRevision: number;
    /** Monotonic time of the target's last answer of any kind; undefined before the first. */
    lastAnswerAt: number | undefined;
    /** Failures since the last answer: refused or broken connections and missed deadlines. */
    failures: number;
    /** Monotonic time of the first failure since the last answer. */
    failingSince: number | undefined;
    /** Monotonic time at which the target last refused a request since it drains. */
    drainingRefusalAt: number | undefined;
    /** The target's own word on its state. */
    state: TargetHealth["state"];
    /** How the target answers the questions of the renewer. */
    readonly probe: ProbeRecord;
    /** Waiting requests over concurrency by the target's own lagging report; undefined when there is none. */
    reportedQueueRatio: number | undefined;
};

export type TargetViews = {
    /** The view of a target, made on first use and made anew when its address changes. */
    of: (pool: string, target: Target) => TargetView;
    close: () => Promise<void>;
};

const connectMilliseconds = 500;
const healthLagMilliseconds = 5_000;

/** Notes what an answer of the target tells of its clock and incarnation. */
export const recordClockReading = (view: TargetView, incarnation: string, clockReading: number): void => {
    if (view.incarnation !== incarnation) {
        view.incarnation = incarnation;
        view.clockReading = clockReading;
        view.grantedRevision = 0;
        return;
    }
    view.clockReading = Math.max(view.clockReading, clockReading);
};

/** Notes an answer of any kind: the target can be reached. */
export const recordAnswer = (view: TargetView, now: number): void => {
    view.lastAnswerAt = now;
    view.failures = 0;
    view.failingSince = undefined;
};

/** Notes a refused or broken connection or a missed deadline. */
export const recordFailure = (view: TargetView, now: number): void => {
    view.failures += 1;
    view.failingSince ??= now;
};

const answerSmoothing = 0.2;

/** Notes that the renewer's question at `askedAt` was answered. */
export const recordProbeAnswer = (view: TargetView, askedAt: number, now: number): void => {
    const { probe } = view;
    probe.unansweredSince = undefined;
    probe.failures = 0;
    probe.answerMilliseconds += (now - askedAt - probe.answerMilliseconds) * answerSmoothing;
    recordAnswer(view, now);
};

/** Notes that the target refused a request since it drains, which it knows better than its health endpoint. */
export const recordDraining = (view: TargetView, now: number): void => {
    view.drainingRefusalAt = now;
    view.state = targetStates.draining;
};

/** Notes the state that the health endpoint gives. It lags, so that a refusal of late counts for more. */
export const recordHealth = (view: TargetView, state: TargetHealth["state"], now: number): void => {
    const isOld = view.drainingRefusalAt === undefined || now - view.drainingRefusalAt >= healthLagMilliseconds;
    if (isOld || state === targetStates.draining) {
        view.state = state;
    }
};

/** Creates the views of one host. `connectionsOf` says how many connections this host may open to a target. */
export const createTargetViews = (
    connectionsOf: (target: Target) => number,
    sourceAddress?: string,
): TargetViews => {
    const views = new Map<string, TargetView>();
    return {
        of: (pool, target) => {
            const place = `${pool}/${target.name}`;
            const known = views.get(place);
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
            views.set(place, view);
            return view;
        },
        close: async () => {
            await Promise.all([...views.values()].map(view => view.link.close()));
        },
    };
};
