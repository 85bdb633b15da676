/**
 * Requests that are suspected of crashing targets, on a resident host. Hosts tell one another of each crash by gossip,
 * and any of them withdraws a crash of a target that has answered it since: then only a connection broke.
 */
import { z } from "zod";
import type { Clock } from "../../contracts/clock.ts";
import type { ResidentRequest } from "../../contracts/resident.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import { createQuarantines, type SuspicionChannel, type TargetIncarnation } from "../quarantines.ts";
import type { Gossip } from "./gossip.ts";
import type { TargetState, TargetStates } from "./targetstates.ts";

export type Suspicions = {
    /** Whether the request is refused because it crashed targets. */
    isQuarantined: (request: ResidentRequest) => boolean;
    /** Records that the target may have crashed while it ran the request. */
    recordConnectionLost: (request: ResidentRequest, state: TargetState) => void;
    /** Records that the request was answered. */
    recordAnswered: (request: ResidentRequest) => void;
};

export type SuspicionsOptions = {
    gossip: Gossip;
    targetStates: Pick<TargetStates, "get">;
    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    random: () => number;
    clock: Clock;
    log: Log;
    metrics: Metrics;
};

/** Kind of the gossip about crashes. The name is that of the request and of the crash. */
export const crashGossipKind = "crash";
export const crashGossipSchema = z.object({
    pool: z.string(),
    fingerprint: z.string(),
    crash: z.string(),
    crashed: z.boolean(),
});

/** Time for which a crash counts against a request. */
const suspicionMilliseconds = 300_000;
/**
 * Connections also break without a crash, and a request that is sent again may meet the one that crashes targets twice.
 */
const crashesUntilQuarantine = 3;
/** Time for which hosts keep in mind that a crash was withdrawn. */
const refutationMilliseconds = 20_000;
/**
 * A crash is looked at after this time and, spread over the hosts, up to twice as long. A target that crashed is not
 * back that soon, so that an answer by then proves that it did not.
 */
const verifyMilliseconds = 450;

/** Creates the suspicions of one host. */
export const createSuspicions = (options: SuspicionsOptions): Suspicions => {
    const { gossip, targetStates, random, clock, log, metrics } = options;

    const channel: SuspicionChannel = {
        broadcast: ({ pool, fingerprint, crash, change }) => {
            const crashed = change === "crashed";
            const value: z.infer<typeof crashGossipSchema> = { pool, fingerprint, crash, crashed };
            const lifetime = crashed ? suspicionMilliseconds : refutationMilliseconds;
            gossip.put(crashGossipKind, `${fingerprint} ${crash}`, value, lifetime);
        },
        onSuspicion: listener =>
            gossip.onChange(crashGossipKind, (...[, value, ageMilliseconds]) => {
                const { pool, fingerprint, crash, crashed } = crashGossipSchema.parse(value);
                const change = crashed ? "crashed" : "refuted";
                listener({ kind: "suspicion", pool, fingerprint, change, crash, ageMilliseconds });
            }),
        // Gossip itself brings a host that joins up to date.
        onJoin: () => undefined,
    };

    /** Resolves to whether the incarnation has answered a request that was sent after the time. */
    const hasAnswered = async ({ name, incarnation }: TargetIncarnation, since: number): Promise<boolean> => {
        const wait = since + verifyMilliseconds * (1 + random()) - clock.now();
        if (wait < 0) {
            return false;
        }
        await clock.sleep(wait);
        const state = targetStates.get(name);
        return state !== undefined && state.target.incarnation === incarnation && state.answeredSentAt > since;
    };

    const quarantines = createQuarantines({
        channel,
        isReportedTargetAlive: (target, ageMilliseconds) => hasAnswered(target, clock.now() - ageMilliseconds),
        ageMilliseconds: suspicionMilliseconds,
        crashesUntilQuarantine,
        clock,
        log,
        metrics,
    });

    /** Requests that come again differ in their id and deadline, and the platform promises nothing on their other headers. */
    const contentOf = ({ host, method, path, body }: ResidentRequest) => ({ pool: host, method, path, body });

    return {
        isQuarantined: request => {
            const content = contentOf(request);
            const isQuarantined = quarantines.isQuarantined(content);
            if (isQuarantined) {
                const fingerprint = quarantines.fingerprintOf(content);
                log.info("request-refused-as-suspect", { request: request.id, fingerprint });
            }
            return isQuarantined;
        },
        recordConnectionLost: (request, { target: { name, incarnation } }) => {
            const since = clock.now();
            const isAlive = (): Promise<boolean> => hasAnswered({ name, incarnation }, since);
            const fingerprint = quarantines.recordConnectionLost(contentOf(request), { name, incarnation, isAlive });
            log.info("crash-suspected", { request: request.id, fingerprint, target: name, incarnation });
        },
        recordAnswered: request => quarantines.recordAnswered(contentOf(request)),
    };
};
