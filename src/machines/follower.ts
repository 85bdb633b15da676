/**
 * The follower keeps the host's view of objects up to date with the platform, and confirms the assignments that the
 * platform has named as the newest.
 */
import type { Clock } from "../contracts/clock.ts";
import { messageOf } from "../contracts/errors.ts";
import type { Currency } from "../decisions/currency.ts";
import type { Log } from "../links/logs.ts";
import type { PlatformLink } from "../links/platform.ts";
import type { ObjectView } from "./objects.ts";

export type FollowerOptions = {
    platform: PlatformLink;
    objects: ObjectView;
    currency: Currency;
    freshnessMilliseconds: number;
    clock: Clock;
    log: Log;
    signal: AbortSignal;
};

export type Follower = {
    /** Resolves after the first complete read. */
    ready: Promise<void>;
    /** Monotonic time of the last answer of the platform; undefined before the first. */
    lastAnswerAt: () => number | undefined;
};

const readsPerFreshness = 4;

/** Starts to follow the platform until the signal aborts. */
export const createFollower = (options: FollowerOptions): Follower => {
    const { platform, objects, currency, clock, log, signal } = options;
    const pauseMilliseconds = options.freshnessMilliseconds / readsPerFreshness;
    let position = 0;
    let lastAnswerAt: number | undefined;
    let markReady: () => void = () => undefined;
    const ready = new Promise<void>(resolve => {
        markReady = resolve;
    });

    const readOnce = async (): Promise<void> => {
        const sentAt = clock.now();
        const page = await platform.list(position, signal);
        for (const item of page.items) {
            objects.accept(item);
        }
        position = page.position;
        for (const { name, value } of objects.list("assignments")) {
            currency.confirm(name, value.revision, sentAt, options.freshnessMilliseconds);
        }
        lastAnswerAt = clock.now();
        markReady();
    };

    const follow = async (): Promise<void> => {
        let failing = false;
        while (!signal.aborted) {
            try {
                await readOnce();
                failing = false;
            }
            catch (error) {
                if (!failing && !signal.aborted) {
                    log.warn("platform-unreachable", { error: messageOf(error) });
                }
                failing = true;
            }
            await clock.sleep(pauseMilliseconds, signal);
        }
    };

    void follow();
    return { ready, lastAnswerAt: () => lastAnswerAt };
};
