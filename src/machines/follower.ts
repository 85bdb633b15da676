/**
 * The follower keeps the replica up to date. A relay asks the platform several times within the time for which an
 * answer is fresh. Every other host asks a relay, and asks the platform only when no relay answers. While the platform
 * can not be reached, hosts ask each other, and relays retry the platform with growing, jittered pauses.
 */
import type { Clock } from "../contracts/clock.ts";
import { messageOf } from "../contracts/errors.ts";
import type { Departure } from "../contracts/objectmessages.ts";
import type { HostLinks } from "../links/hosts.ts";
import type { Log } from "../links/logs.ts";
import type { Metrics } from "../links/metrics.ts";
import type { PlatformLink } from "../links/platform.ts";
import { keepRunning, runAlone } from "./longtasks.ts";
import type { Replica } from "./replica.ts";

/** What the follower may ask, by the current membership. */
export type FollowerSources = {
    /** Whether this host asks the platform on behalf of others. */
    isRelay: boolean;
    /** Whether this host retries an unreachable platform more often than the others do. */
    retriesFaster: boolean;
    /** Relays to ask, in order of preference. */
    relays: string[];
};

export type FollowerOptions = {
    replica: Replica;
    platform: PlatformLink;
    links: HostLinks;
    sources: () => FollowerSources;
    /** Called with the departures that a relay passed on. */
    onDepartures: (departures: Departure[]) => void;
    freshnessMilliseconds: number;
    platformTimeoutMilliseconds: number;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
    /** Returns a random number from 0 to below 1, for jitter. Defaults to `Math.random`. */
    random?: () => number;
};

export type Follower = {
    /** Starts to follow. The first read asks the platform for all objects. */
    start: () => void;
    /** Resolves after the first complete read. */
    ready: Promise<void>;
    /** Monotonic time of the platform's last answer to this host itself; undefined before the first one. */
    lastPlatformAnswerAt: () => number | undefined;
    /** Asks a relay, or the platform if this host is a relay, without waiting for the next round. */
    askNow: () => void;
};

const questionsPerFreshnessTime = 4;
const maxRetryMilliseconds = 4_000;
/** Maximum pause of the host that retries faster than the others. */
const maxFasterRetryMilliseconds = 500;
/** Time over which hosts return to a platform that answers again, so that they do not ask all at once. */
const returnSpreadMilliseconds = 1_000;

/** Creates the follower. It runs from `start` until the signal aborts. */
export const createFollower = (options: FollowerOptions): Follower => {
    const { replica, platform, links, clock, log, metrics, signal } = options;
    const random = options.random ?? Math.random;
    const roundMilliseconds = options.freshnessMilliseconds / questionsPerFreshnessTime;
    const maxOutstanding = Math.max(1, Math.ceil(options.platformTimeoutMilliseconds / roundMilliseconds));
    let outstanding = 0;
    let failures = 0;
    let nextPlatformAt = 0;
    let relayIndex = 0;
    /** Relay questions in succession that were not answered. */
    let unanswered = 0;
    let isAskingRelay = false;
    let lastAnswerAt: number | undefined;
    let markReady: () => void = () => undefined;
    const ready = new Promise<void>(resolve => {
        markReady = resolve;
    });

    /** Records that the platform did not answer, and sets the pause before the next try. */
    const noteFailure = (error: unknown): void => {
        if (signal.aborted) {
            return;
        }
        if (failures === 0) {
            log.warn("platform-unreachable", { error: messageOf(error) });
        }
        failures += 1;
        metrics.count("platform-failures");
        const maxPause = options.sources().retriesFaster ? maxFasterRetryMilliseconds : maxRetryMilliseconds;
        const pause = Math.min(maxPause, roundMilliseconds * 2 ** Math.min(failures, 10));
        nextPlatformAt = clock.now() + pause * (0.5 + random() / 2);
    };

    const readPlatform = async (): Promise<void> => {
        const after = replica.position();
        const sentAt = clock.now();
        outstanding += 1;
        try {
            const page = await platform.list(after, signal);
            if (failures > 0) {
                log.info("platform-reachable", { failures });
            }
            failures = 0;
            lastAnswerAt = clock.now();
            replica.applyPage(page, after, sentAt);
            markReady();
        }
        catch (error) {
            noteFailure(error);
        }
        finally {
            outstanding -= 1;
        }
    };

    /** Notes that another host has a fresh answer of the platform. Hosts return to it at random times. */
    const notePlatformBack = (): void => {
        if (failures > 1) {
            failures = 1;
            nextPlatformAt = Math.min(nextPlatformAt, clock.now() + random() * returnSpreadMilliseconds);
        }
    };

    /** Asks a relay for newer objects, page by page. Turns to the next relay after no answer or a stale one. */
    const askRelay = async (relays: string[]): Promise<void> => {
        const relay = relays[relayIndex % relays.length];
        const after = replica.position();
        const sentAt = clock.now();
        const message = { kind: "objects-question", after } as const;
        const answer = await links.ask(relay, message, options.freshnessMilliseconds / 2);
        if (answer?.kind !== "objects-answer" || !answer.ready) {
            relayIndex += 1;
            unanswered += 1;
            metrics.count("relay-unanswered");
            return;
        }
        unanswered = 0;
        replica.applyAnswer(answer, after, sentAt);
        options.onDepartures(answer.departures);
        if (answer.readAgeMilliseconds >= options.freshnessMilliseconds) {
            relayIndex += 1;
        }
        else {
            notePlatformBack();
        }
        if (answer.more) {
            await askRelay(relays);
        }
    };

    /** Asks whichever of the platform and the relays is due now. */
    const ask = async (): Promise<void> => {
        const { isRelay, relays } = options.sources();
        const noRelayAnswers = relays.length === 0 || unanswered >= relays.length;
        const shouldAskPlatform = lastAnswerAt === undefined || isRelay || noRelayAnswers;
        if (shouldAskPlatform && clock.now() >= nextPlatformAt && outstanding < maxOutstanding) {
            void runAlone("platform-read", readPlatform, options);
        }
        if (lastAnswerAt === undefined || relays.length === 0 || isAskingRelay || (isRelay && failures === 0)) {
            return;
        }
        isAskingRelay = true;
        try {
            await askRelay(relays);
        }
        finally {
            isAskingRelay = false;
        }
    };

    const askNow = (): void => void runAlone("follower", ask, options);

    const follow = async (): Promise<void> => {
        while (!signal.aborted) {
            askNow();
            await clock.sleep(roundMilliseconds * (0.9 + random() / 5), signal);
        }
    };

    return {
        start: () => void keepRunning("follower", follow, options),
        ready,
        lastPlatformAnswerAt: () => lastAnswerAt,
        askNow,
    };
};
