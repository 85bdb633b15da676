/**
 * Keeps the limits on the requests of all hosts together: those that targets name, and those of cold targets. For each
 * group of targets one host counts: the first by rendezvous hashing that can be reached. The others ask it before each send to a limited target. A host that is asked
 * and can itself reach one that ranks before it asks on, so that two hosts count only where no link joins them.
 */
import { z } from "zod";
import type { Clock } from "../../contracts/clock.ts";
import type { RegisteredTarget } from "../../contracts/routing.ts";
import type { ColdLimit } from "../../decisions/coldlimit.ts";
import { createSharedLimit, type LimitVerdict, type SharedLimit } from "../../decisions/sharedlimit.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import type { PeerConnection, PeerDialer, PeerService } from "../../links/peers.ts";
import { digestHash } from "../../zones/digesthash.ts";
import type { ReaderCandidate } from "../../zones/readers.ts";
import { createPeerLinks, type PeerGroup } from "./peerlinks.ts";

/** A request for a limited target. */
export type LimitQuestion = {
    /** Group of targets that one host counts for: a pool, or some of its targets in one zone. */
    pool: string;
    /** Name and incarnation of the target, or its name alone. */
    target: string;
    perSecond: number;
    priority: number;
    /** Limit of the target if the asking host takes it to be cold. */
    cold?: ColdLimit | undefined;
};

const coldGroupPrefix = "cold/";

/**
 * Parts of a zone's targets that are counted apart. 116 targets of one zone with 2.5 requests a second cost 54 KB a second
 * in allowed questions alone (185 bytes each), twice what a host may use for control traffic.
 */
const partsOfZone = 4;

/** Whether a group consists of targets of one zone in a pool whose cold targets are limited. */
export const isColdGroup = (group: string): boolean => group.startsWith(coldGroupPrefix);

/**
 * Returns the group and the name under which requests for a target are counted. In a pool whose cold targets are limited,
 * a target is counted by its name alone, since some hosts do not know yet that it has restarted. The targets of each
 * zone are divided among several counting hosts there, since all of a zone may be cold at once.
 */
export const countedAs = (
    { name, incarnation, pool, zone }: RegisteredTarget,
    isColdLimited: boolean,
): Pick<LimitQuestion, "pool" | "target"> =>
    isColdLimited
        ? { pool: `${coldGroupPrefix}${pool}/${zone}/${digestHash(name, partsOfZone)}`, target: name }
        : { pool, target: `${name}#${incarnation}` };

export type TargetLimits = {
    /** Answers the questions of other hosts. */
    service: PeerService;
    /** Resolves to whether a request may be sent to the target now. */
    take: (question: LimitQuestion) => Promise<LimitVerdict>;
    /** Opens the link to the host that counts for the group, before the first question. */
    prepare: (pool: string) => void;
};

export type TargetLimitsOptions = {
    /** Returns the other hosts that rank before this one in counting for the group, the most preferred first. */
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
/**
 * A question is passed on at most this often. Hosts whose views of each other's capacity differ for a moment may rank
 * each other first, and would otherwise pass a question back and forth without end.
 */
const maxHops = 3;
const sweepMilliseconds = 1_000;
/** The ranking of the known hosts is used for this time. */
const rankingMilliseconds = 1_000;

const questionSchema = z.object({
    kind: z.literal("question"),
    id: z.int(),
    pool: z.string().max(300),
    target: z.string().max(300),
    perSecond: z.number().min(0),
    priority: z.number(),
    cold: z.object({ perSecond: z.number().min(0), milliseconds: z.number().min(0) }).optional(),
    hops: z.int().min(0).optional(),
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

type Counted = { limit: SharedLimit; usedAt: number; cold: { perSecond: number; until: number } };

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
    /** What this host counts, by target. `cold` is what any host said of it, until that time. */
    const counted = new Map<string, Counted>();
    let sweptAt = clock.now();
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
            void take(message, (message.hops ?? 0) + 1).then(verdict =>
                connection.send({ kind: "verdict", id: message.id, verdict })
            );
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

    const sweep = (now: number): void => {
        if (now - sweptAt < sweepMilliseconds) {
            return;
        }
        sweptAt = now;
        for (const [other, { usedAt }] of counted) {
            if (now - usedAt > idleMilliseconds) {
                counted.delete(other);
            }
        }
    };

    const takeHere = ({ target, perSecond, priority, cold }: LimitQuestion): LimitVerdict => {
        const now = clock.now();
        sweep(now);
        const entry: Counted = counted.get(target)
            ?? { limit: createSharedLimit(now), usedAt: now, cold: { perSecond: Infinity, until: -Infinity } };
        counted.set(target, entry);
        entry.usedAt = now;
        if (cold !== undefined) {
            const until = now + cold.milliseconds;
            entry.cold = { perSecond: cold.perSecond, until: Math.max(entry.cold.until, until) };
        }
        // A host that does not know yet that the target is cold must not fill the bucket at a higher rate.
        return entry.limit.take(perSecond, priority, now, now < entry.cold.until ? entry.cold.perSecond : undefined);
    };

    const ask = (
        connection: PeerConnection,
        { pool, target, perSecond, priority, cold }: LimitQuestion,
        hops: number,
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
            // Optional fields are left out, since they cost bytes in each question.
            connection.send({
                kind: "question",
                id,
                pool,
                target,
                perSecond,
                priority,
                ...(cold === undefined ? {} : { cold }),
                ...(hops === 0 ? {} : { hops }),
            });
        });

    const take = async (question: LimitQuestion, hops = 0): Promise<LimitVerdict> => {
        if (hops > maxHops) {
            return unknownVerdict;
        }
        prepare(question.pool);
        const first = links.first(question.pool);
        if (first === "opening") {
            metrics.count("limit-questions", { result: "nobody-yet" });
            return unknownVerdict;
        }
        const verdict = first === undefined ? takeHere(question) : await ask(first, question, hops);
        metrics.count("limit-questions", { result: verdict.allowed ? "allowed" : "refused" });
        return verdict;
    };

    return { service: links.service, take: question => take(question), prepare };
};
