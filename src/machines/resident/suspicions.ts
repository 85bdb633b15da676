/**
 * Requests that are suspected of crashing targets, on a resident host. Hosts tell one another of each crash by gossip,
 * and any of them withdraws a crash of a target that has answered it since: then only a connection broke.
 */
import { z } from "zod";
import type { Clock } from "../../contracts/clock.ts";
import type { ResidentRequest } from "../../contracts/resident.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import {
    createQuarantines,
    type RequestContent,
    type SuspicionChannel,
    type TargetIncarnation,
} from "../quarantines.ts";
import type { Gossip } from "./gossip.ts";
import type { TargetState, TargetStates } from "./targetstates.ts";

export type Suspicions = {
    /** Whether the request is refused because it crashed targets. */
    isQuarantined: (request: ResidentRequest) => boolean;
    /**
     * Records that the target may have crashed while it ran the request.
     *
     * @param answersCheck asks the target for a sign of life; absent where it has no path for that.
     */
    recordConnectionLost: (
        request: ResidentRequest,
        state: TargetState,
        answersCheck?: () => Promise<boolean>,
    ) => void;
    /** Records that the request was answered, other than with a server error. */
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
    sender: z.string().optional(),
    crashed: z.boolean(),
});

/** Time for which a crash counts against a request. */
const suspicionMilliseconds = 300_000;
/**
 * Connections also break without a crash, and a request that is sent again may meet the one that crashes targets twice.
 */
const crashesUntilQuarantine = 3;
const maxLoggedPath = 200;
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
        broadcast: ({ pool, fingerprint, crash, sender, change }) => {
            const crashed = change === "crashed";
            const value: z.infer<typeof crashGossipSchema> = { pool, fingerprint, crash, sender, crashed };
            const lifetime = crashed ? suspicionMilliseconds : refutationMilliseconds;
            gossip.put(crashGossipKind, `${fingerprint} ${crash} ${sender ?? ""}`, value, lifetime);
        },
        onSuspicion: listener =>
            gossip.onChange(crashGossipKind, (...[, value, ageMilliseconds]) => {
                const { pool, fingerprint, crash, sender, crashed } = crashGossipSchema.parse(value);
                const change = crashed ? "crashed" : "refuted";
                listener({ kind: "suspicion", pool, fingerprint, change, crash, sender, ageMilliseconds });
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
        answersLift: true,
        clock,
        log,
        metrics,
    });

    /**
     * The contents by which a request that comes again is recognized; its id, deadline and other headers differ. One is
     * all that is asked for, whoever asks. The other is the path and the caller: a caller may vary the query, and what
     * other callers ask for by the same path may be sound. So crashes under a caller's requests that are enough to refuse
     * that caller do not count against the others.
     */
    const contentsOf = ({ host, method, path, body, callerAddress }: ResidentRequest): RequestContent[] => [
        { pool: host, method, path, body, sender: callerAddress },
        { pool: host, method, path: path.split("?", 1)[0], body, caller: callerAddress },
    ];

    return {
        isQuarantined: request => {
            const content = contentsOf(request).find(quarantines.isQuarantined);
            if (content !== undefined) {
                const fingerprint = quarantines.fingerprintOf(content);
                log.info("request-refused-as-suspect", { request: request.id, fingerprint });
            }
            return content !== undefined;
        },
        recordConnectionLost: (request, { target: { name, incarnation } }, ask) => {
            const since = clock.now();
            // Both contents of the request rest on one check.
            let check: Promise<boolean> | undefined;
            const answersCheck = ask && ((): Promise<boolean> => check ??= ask());
            const answered = hasAnswered({ name, incarnation }, since);
            const isAlive = (): Promise<boolean> => answered;
            for (const content of contentsOf(request)) {
                const fingerprint = quarantines.recordConnectionLost(content, {
                    name,
                    incarnation,
                    isAlive,
                    answersCheck,
                });
                log.info("crash-suspected", {
                    request: request.id,
                    fingerprint,
                    target: name,
                    incarnation,
                    caller: request.callerAddress,
                    path: request.path.slice(0, maxLoggedPath),
                    bodyBytes: request.body?.length ?? 0,
                });
            }
        },
        recordAnswered: request => contentsOf(request).forEach(quarantines.recordAnswered),
    };
};
