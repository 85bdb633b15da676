/**
 * How targets want to be used, as they say in their answers. That a target leaves, and its limit, concern all hosts, so
 * they tell one another by gossip.
 */
import { z } from "zod";
import type { Clock } from "../../contracts/clock.ts";
import type { TargetNotice } from "../../contracts/resident.ts";
import type { RegisteredTarget } from "../../contracts/routing.ts";
import { effectiveLimit } from "../../decisions/sharedlimit.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import type { Gossip } from "./gossip.ts";
import type { TargetState } from "./targetstates.ts";

export type TargetNotices = {
    /**
     * Takes in what an answer of the target says.
     *
     * @param sentAt monotonic time at which the request was sent.
     */
    record: (state: TargetState, notice: TargetNotice, sentAt: number) => void;
    /** Returns the requests per second that the target takes from all hosts; undefined while it names no limit. */
    limitOf: (target: RegisteredTarget) => number | undefined;
};

export type TargetNoticesOptions = {
    gossip: Gossip;
    /** Called when an incarnation of a target has said that it leaves. */
    onLeaving: (name: string, incarnation: string) => void;
    /** Called when a target of the pool has named a limit. */
    onLimit: (pool: string) => void;
    clock: Clock;
    log: Log;
    metrics: Metrics;
};

/** Kind of the gossip about limits. The name is that of the target and its incarnation. */
export const limitGossipKind = "limit";
export const limitGossipSchema = z.object({
    pool: z.string(),
    /** Absent when the target has lifted its limit. */
    perSecond: z.number().min(0).optional(),
});

/** Kind of the gossip about targets that leave. The name is that of the target and its incarnation. */
export const leavingGossipKind = "leaving";
export const leavingGossipSchema = z.object({ target: z.string(), incarnation: z.string() });

/** Time for which hosts tell those that start of a target that leaves: longer than it takes to end. */
const leavingMilliseconds = 120_000;
/** Hosts tell again of a limit that they hear, so that all know how long ago the target last named it. */
const repeatMilliseconds = 1_000;
/** A limit that no host has heard for this time is forgotten. */
const lifetimeMilliseconds = 60_000;
/**
 * An answer without a limit lifts it when no host has heard it for this time, and not in the time in which the limit
 * allows this many answers: a target may leave it out of single ones.
 */
const silenceUntilLifted = 2_000;
const answersUntilLifted = 4;

type KnownLimit = { perSecond: number | undefined; heardAt: number };

/** Creates the notices of one host. */
export const createTargetNotices = (options: TargetNoticesOptions): TargetNotices => {
    const { gossip, clock, log, metrics } = options;
    const limits = new Map<string, KnownLimit>();
    /** What each incarnation of a target said last, without what its times are. */
    const summaries = new WeakMap<TargetState, string>();

    const nameOf = ({ name, incarnation }: RegisteredTarget): string => `${name}#${incarnation}`;

    const forgetOld = (): void => {
        for (const [name, { heardAt }] of limits) {
            if (clock.now() - heardAt > lifetimeMilliseconds) {
                limits.delete(name);
            }
        }
    };

    /** Holds a limit, and logs it where it has changed. */
    const hold = (name: string, pool: string, perSecond: number | undefined, heardAt: number): void => {
        const before = limits.get(name)?.perSecond;
        limits.set(name, { perSecond, heardAt });
        if (before !== perSecond) {
            log.info("target-limit", { target: name, pool, perSecond: perSecond ?? "none", before: before ?? "none" });
            forgetOld();
        }
        if (perSecond !== undefined) {
            options.onLimit(pool);
        }
    };

    const tell = (target: RegisteredTarget, perSecond: number | undefined): void => {
        const name = nameOf(target);
        hold(name, target.pool, perSecond, clock.now());
        gossip.put(limitGossipKind, name, { pool: target.pool, perSecond }, lifetimeMilliseconds);
    };

    const recordLimit = (target: RegisteredTarget, named: TargetNotice["limitPerSecond"], sentAt: number): void => {
        const name = nameOf(target);
        const known = limits.get(name);
        if (typeof named === "number") {
            if (known?.perSecond !== named || clock.now() - known.heardAt > repeatMilliseconds) {
                tell(target, named);
            }
            return;
        }
        if (named === "unreadable" || known?.perSecond === undefined) {
            return;
        }
        const silence = Math.max(silenceUntilLifted, answersUntilLifted * 1_000 / effectiveLimit(known.perSecond));
        if (sentAt - known.heardAt > silence) {
            tell(target, undefined);
        }
    };

    gossip.onChange(leavingGossipKind, (...[, value]) => {
        const { target, incarnation } = leavingGossipSchema.parse(value);
        options.onLeaving(target, incarnation);
    });
    gossip.onChange(limitGossipKind, (name, value, ageMilliseconds) => {
        const { pool, perSecond } = limitGossipSchema.parse(value);
        hold(name, pool, perSecond, clock.now() - ageMilliseconds);
    });

    return {
        record: (state, notice, sentAt) => {
            const { leaving, limitPerSecond, pauseMilliseconds } = notice;
            const { name, pool, incarnation } = state.target;
            if (leaving && !state.target.leaving) {
                options.onLeaving(name, incarnation);
                const value: z.infer<typeof leavingGossipSchema> = { target: name, incarnation };
                gossip.put(leavingGossipKind, nameOf(state.target), value, leavingMilliseconds);
            }
            recordLimit(state.target, limitPerSecond, sentAt);
            state.pausedUntil = Math.max(state.pausedUntil, clock.now() + (pauseMilliseconds ?? 0));
            const summary = `${leaving} ${limitPerSecond} ${pauseMilliseconds !== undefined}`;
            if (summary !== (summaries.get(state) ?? "false none false")) {
                summaries.set(state, summary);
                metrics.count("target-notices", { pool });
                log.info("target-notice", {
                    target: name,
                    pool,
                    incarnation,
                    leaving,
                    limitPerSecond,
                    pauseMilliseconds,
                });
            }
        },
        limitOf: target => {
            const known = limits.get(nameOf(target));
            return known !== undefined && clock.now() - known.heardAt <= lifetimeMilliseconds
                ? known.perSecond
                : undefined;
        },
    };
};
