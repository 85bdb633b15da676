/**
 * Keeps the limits that targets name on the requests of all hosts together. For each pool one host counts: the first by
 * rendezvous hashing that can be reached. The others ask it before each send to a limited target. A host that is asked
 * and can itself reach one that ranks before it asks on, so that two hosts count only where no link joins them.
 */
import { z } from "zod";
import type { Clock } from "../../contracts/clock.ts";
import { createSharedLimit, type LimitVerdict, type SharedLimit } from "../../decisions/sharedlimit.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import type { PeerConnection, PeerDialer, PeerService } from "../../links/peers.ts";
import type { ReaderCandidate } from "../../zones/readers.ts";
import { createPeerLinks, type PeerGroup } from "./peerlinks.ts";

/** A request for a limited target. */
export type LimitQuestion = {
    pool: string;
    /** Name and incarnation of the target. */
    target: string;
    perSecond: number;
    priority: number;
};

export type TargetLimits = {
    /** Answers the questions of other hosts. */
    service: PeerService;
    /** Resolves to whether a request may be sent to the target now. */
    take: (question: LimitQuestion) => Promise<LimitVerdict>;
    /** Opens the link to the host that counts for the pool, before the first question. */
    prepare: (pool: string) => void;
};

export type TargetLimitsOptions = {
    /** Returns the other hosts that rank before this one in counting for the pool, the most preferred first. */
    rankedBefore: (pool: string) => ReaderCandidate[];
    dial: PeerDialer;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

/** Path at which a host counts for others. */
export const limitsPath = "/limits";

const beatMilliseconds = 1_000;
/** A question without an answer after this time counts as refused. */
const questionMilliseconds = 200;
/** After this many questions in a row without an answer, another host is asked. */
const maxUnanswered = 2;
/** Time after which a request is told to come back while it is not known who counts. */
const unknownRetryMilliseconds = 200;
/** A pool without a question for this time needs no link. */
const idleMilliseconds = 30_000;
/** The ranking of the known hosts is used for this time. */
const rankingMilliseconds = 1_000;

const questionSchema = z.object({
    kind: z.literal("question"),
    id: z.int(),
    pool: z.string().max(300),
    target: z.string().max(300),
    perSecond: z.number().min(0),
    priority: z.number(),
});
const verdictSchema = z.discriminatedUnion("allowed", [
    z.object({ allowed: z.literal(true) }),
    z.object({
        allowed: z.literal(false),
        roomMilliseconds: z.number().min(0),
        retryAfterMilliseconds: z.number().min(0),
    }),
]);
const messageSchema = z.discriminatedUnion("kind", [
    questionSchema,
    z.object({ kind: z.literal("verdict"), id: z.int(), verdict: verdictSchema }),
    z.object({ kind: z.literal("beat") }),
]);
type Message = z.infer<typeof messageSchema>;

type OpenQuestion = { connection: PeerConnection; answer: (verdict: LimitVerdict | undefined) => void };

const unknownVerdict: LimitVerdict = {
    allowed: false,
    roomMilliseconds: unknownRetryMilliseconds,
    retryAfterMilliseconds: unknownRetryMilliseconds,
};

/** Starts to keep limits. */
export const createTargetLimits = (options: TargetLimitsOptions): TargetLimits => {
    const { clock, log, metrics, signal } = options;
    /** Pools in which a target has a limit, with the time of the last question and the hosts that rank before this one. */
    const pools = new Map<string, { usedAt: number; rankedAt: number; candidates: ReaderCandidate[] }>();
    /** What this host counts, by target. */
    const counted = new Map<string, { limit: SharedLimit; usedAt: number }>();
    const openQuestions = new Map<number, OpenQuestion>();
    const unanswered = new Map<PeerConnection, number>();
    let lastId = 0;

    const groups = (): Map<string, PeerGroup> => {
        const now = clock.now();
        for (const [pool, known] of pools) {
            if (now - known.usedAt > idleMilliseconds) {
                pools.delete(pool);
            }
            else if (now - known.rankedAt >= rankingMilliseconds) {
                pools.set(pool, { ...known, rankedAt: now, candidates: options.rankedBefore(pool) });
            }
        }
        return new Map([...pools].map(([pool, { candidates }]) => [pool, { candidates, count: 1 }]));
    };

    const links = createPeerLinks({
        path: limitsPath,
        dial: options.dial,
        groups,
        beatMilliseconds,
        beat: () => ({ kind: "beat" }),
        onOpen: () => undefined,
        onFrame: (connection, value) => {
            const parsed = messageSchema.safeParse(value);
            if (!parsed.success) {
                return false;
            }
            receive(connection, parsed.data);
            return true;
        },
        onClose: connection => {
            unanswered.delete(connection);
            [...openQuestions.values()].filter(open => open.connection === connection).forEach(({ answer }) =>
                answer(undefined)
            );
        },
        clock,
        log,
        metrics,
        signal,
    });

    const receive = (connection: PeerConnection, message: Message): void => {
        if (message.kind === "question") {
            void take(message).then(verdict => connection.send({ kind: "verdict", id: message.id, verdict }));
        }
        else if (message.kind === "verdict") {
            const open = openQuestions.get(message.id);
            if (open?.connection === connection) {
                open.answer(message.verdict);
            }
        }
    };

    const prepare = (pool: string): void => {
        const known = pools.get(pool);
        pools.set(pool, { rankedAt: -Infinity, candidates: [], ...known, usedAt: clock.now() });
        if (known === undefined) {
            links.update();
        }
    };

    const takeHere = ({ target, perSecond, priority }: LimitQuestion): LimitVerdict => {
        const now = clock.now();
        const known = counted.get(target) ?? { limit: createSharedLimit(now), usedAt: now };
        counted.set(target, { ...known, usedAt: now });
        for (const [other, { usedAt }] of counted) {
            if (now - usedAt > idleMilliseconds) {
                counted.delete(other);
            }
        }
        return known.limit.take(perSecond, priority, now);
    };

    const ask = (
        connection: PeerConnection,
        { pool, target, perSecond, priority }: LimitQuestion,
    ): Promise<LimitVerdict> =>
        new Promise(resolve => {
            lastId += 1;
            const id = lastId;
            const answer = (verdict: LimitVerdict | undefined): void => {
                cancel();
                openQuestions.delete(id);
                if (verdict !== undefined) {
                    unanswered.set(connection, 0);
                }
                resolve(verdict ?? unknownVerdict);
            };
            const cancel = clock.after(questionMilliseconds, () => {
                const missing = (unanswered.get(connection) ?? 0) + 1;
                unanswered.set(connection, missing);
                metrics.count("limit-questions", { result: "unanswered" });
                answer(undefined);
                if (missing >= maxUnanswered) {
                    connection.close();
                }
            });
            openQuestions.set(id, { connection, answer });
            connection.send({ kind: "question", id, pool, target, perSecond, priority });
        });

    const take = async (question: LimitQuestion): Promise<LimitVerdict> => {
        prepare(question.pool);
        const first = links.first(question.pool);
        if (first === "opening") {
            metrics.count("limit-questions", { result: "nobody-yet" });
            return unknownVerdict;
        }
        const verdict = first === undefined ? takeHere(question) : await ask(first, question);
        metrics.count("limit-questions", { result: verdict.allowed ? "allowed" : "refused" });
        return verdict;
    };

    return { service: links.service, take, prepare };
};
