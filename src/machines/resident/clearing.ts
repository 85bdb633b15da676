/**
 * Has the targets of a pool release, after the store has come back from an older copy, all keys that they do not own by the
 * ownership from which the new era starts (`decisions/eraclearing.ts`).
 */
import type { Clock } from "../../contracts/clock.ts";
import type { OwnedRange } from "../../contracts/ownership.ts";
import type { OwnershipLink } from "../../contracts/resident.ts";
import type { RegisteredTarget } from "../../contracts/routing.ts";
import { spansWithout } from "../../decisions/eraclearing.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";

export type ClearingOptions = {
    link: OwnershipLink;
    /** Returns the ranges that the targets keep, sorted by key. */
    ranges: () => OwnedRange[];
    clock: Clock;
    log: Log;
    metrics: Metrics;
};

export type Clearing = {
    /** Sends the releases to the targets that have not answered all of theirs, without waiting for them. */
    advance: (targets: RegisteredTarget[], fence: number) => void;
    /** Whether the target has released the keys that it does not own. */
    isCleared: (target: RegisteredTarget, fence: number) => boolean;
};

const retryMilliseconds = 250;
/** Time-out of a release: a target answers it when its work on the keys has ended. */
const releaseMilliseconds = 2_500;

/** Creates the clearing of one pool's targets, none of which is cleared. */
export const createClearing = ({ link, ranges, clock, log, metrics }: ClearingOptions): Clearing => {
    /** The calls that a target has answered, by name: in which life, on which connections and with which fence. */
    const cleared = new Map<string, string>();
    const nextTryAt = new Map<string, number>();

    /** Another process may be at the address since the session has changed. */
    const lifeOf = (target: RegisteredTarget, fence: number): string =>
        `${target.incarnation} ${link.session(target)} ${fence}`;

    const isCleared: Clearing["isCleared"] = (target, fence) => cleared.get(target.name) === lifeOf(target, fence);

    const clear = async (target: RegisteredTarget, fence: number): Promise<void> => {
        const life = lifeOf(target, fence);
        const rangesAtStart = ranges();
        for (const { from, to } of spansWithout(rangesAtStart, target.name)) {
            // The target may own other keys by now.
            if (ranges() !== rangesAtStart) {
                return;
            }
            const { result } = await link.release(target, { from, to, fence }, releaseMilliseconds);
            metrics.count("clearing-releases", { result });
            if (result !== "done" && result !== "gone") {
                log.info("clearing-failed", { target: target.name, from, to, fence, result });
                return;
            }
        }
        cleared.set(target.name, life);
        log.info("target-cleared", { target: target.name, incarnation: target.incarnation, fence });
    };

    return {
        advance: (targets, fence) => {
            for (const target of targets) {
                if (isCleared(target, fence) || (nextTryAt.get(target.name) ?? -Infinity) > clock.now()) {
                    continue;
                }
                nextTryAt.set(target.name, Infinity);
                void clear(target, fence)
                    .catch(() => undefined)
                    .finally(() => nextTryAt.set(target.name, clock.now() + retryMilliseconds));
            }
        },
        isCleared,
    };
};
