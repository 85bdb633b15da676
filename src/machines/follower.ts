/**
 * The follower keeps the replica up to date. A relay asks the platform several times within the freshness of an answer;
 * every other host asks a relay, and the platform only when no relay answers. While the platform is out, hosts ask each
 * other, and relays try it again with growing, jittered pauses.
 */
import type { Clock } from "../contracts/clock.ts";
import { messageOf } from "../contracts/errors.ts";
import type { Departure } from "../contracts/objectmessages.ts";
import type { HostLinks } from "../links/hosts.ts";
import type { Log } from "../links/logs.ts";
import type { Metrics } from "../links/metrics.ts";
import type { PlatformLink } from "../links/platform.ts";
import type { Replica } from "./replica.ts";

/** Whom the follower may ask, as the membership stands now. */
export type FollowerSources = {
    /** Whether this host asks the platform for others. */
    isRelay: boolean;
    /** Whether this host is the one that tries a failed platform more often than the others. */
    retriesFaster: boolean;
    /** Relays to ask, the first choice first. */
    relays: string[];
};

export type FollowerOptions = {
    replica: Replica;
    platform: PlatformLink;
    links: HostLinks;
    sources: () => FollowerSources;
    /** Takes the departures that a relay passed on. */
    onDepartures: (departures: Departure[]) => void;
    freshnessMilliseconds: number;
    platformTimeoutMilliseconds: number;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
    /** Random numbers from 0 up to 1, for jitter. */
    random?: () => number;
};

export type Follower = {
    /** Begins to follow; the first read asks the platform for all objects. */
    start: () => void;
    /** Resolves after the first complete read. */
    ready: Promise<void>;
    /** Monotonic time of the last answer of the platform to this host itself; undefined before the first. */
    lastPlatformAnswerAt: () => number | undefined;
    /** Asks a relay, or the platform if this host is a relay, without waiting for the next round. */
    askNow: () => void;
};

const questionsPerFreshness = 4;
const maxRetryMilliseconds = 4_000;
const maxFirstRetryMilliseconds = 500;
const returnSpreadMilliseconds = 1_000;

/** Creates the follower; it runs until the signal aborts. */
export const createFollower = (options: FollowerOptions): Follower => {
    const { replica, platform, links, clock, log, metrics, signal } = options;
    const random = options.random ?? Math.random;
    const roundMilliseconds = options.freshnessMilliseconds / questionsPerFreshness;
    const maxOutstanding = Math.max(1, Math.ceil(options.platformTimeoutMilliseconds / roundMilliseconds));
    let outstanding = 0;
    let failures = 0;
    let nextPlatformAt = 0;
    let relayTurn = 0;
    let unanswered = 0;
    let asking = false;
    let lastAnswerAt: number | undefined;
    let markReady: () => void = () => undefined;
    const ready = new Promise<void>(resolve => {
        markReady = resolve;
    });

    const noteFailure = (error: unknown): void => {
        if (signal.aborted) {
            return;
        }
        if (failures === 0) {
            log.warn("platform-unreachable", { error: messageOf(error) });
        }
        failures += 1;
        metrics.count("platform-failures");
        const most = options.sources().retriesFaster ? maxFirstRetryMilliseconds : maxRetryMilliseconds;
        const pause = Math.min(most, roundMilliseconds * 2 ** Math.min(failures, 10));
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

    /** Notes that another host has the platform's fresh word: it is back, and hosts return to it one by one. */
    const notePlatformBack = (): void => {
        if (failures > 1) {
            failures = 1;
            nextPlatformAt = Math.min(nextPlatformAt, clock.now() + random() * returnSpreadMilliseconds);
        }
    };

    const askRelay = async (relays: string[]): Promise<void> => {
        const relay = relays[relayTurn % relays.length];
        const after = replica.position();
        const sentAt = clock.now();
        const message = { kind: "objects-question", after } as const;
        const answer = await links.ask(relay, message, options.freshnessMilliseconds / 2);
        if (answer?.kind !== "objects-answer" || !answer.ready) {
            relayTurn += 1;
            unanswered += 1;
            metrics.count("relay-unanswered");
            return;
        }
        unanswered = 0;
        replica.applyAnswer(answer, after, sentAt);
        options.onDepartures(answer.departures);
        if (answer.readAgeMilliseconds >= options.freshnessMilliseconds) {
            relayTurn += 1;
        }
        else {
            notePlatformBack();
        }
        if (answer.more) {
            await askRelay(relays);
        }
    };

    const ask = async (): Promise<void> => {
        const { isRelay, relays } = options.sources();
        const noRelayAnswers = relays.length === 0 || unanswered >= relays.length;
        const platformTurn = lastAnswerAt === undefined || isRelay || noRelayAnswers;
        if (platformTurn && clock.now() >= nextPlatformAt && outstanding < maxOutstanding) {
            void readPlatform();
        }
        if (lastAnswerAt === undefined || relays.length === 0 || asking || (isRelay && failures === 0)) {
            return;
        }
        asking = true;
        await askRelay(relays);
        asking = false;
    };

    const follow = async (): Promise<void> => {
        while (!signal.aborted) {
            void ask();
            await clock.sleep(roundMilliseconds * (0.9 + random() / 5), signal);
        }
    };

    return {
        start: () => void follow(),
        ready,
        lastPlatformAnswerAt: () => lastAnswerAt,
        askNow: () => void ask(),
    };
};
