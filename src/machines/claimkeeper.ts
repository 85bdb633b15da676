/**
 * The claim keeper remembers, for the groups for which assignments name this host, which ids have run or may run. It
 * takes over the memory of groups that it did not keep before.
 */
import { randomUUID } from "node:crypto";
import type { Clock } from "../contracts/clock.ts";
import type { ClaimAnswer, ClaimMemoryPage, ClaimOutcome, ClaimQuestion } from "../contracts/requestmessages.ts";
import { claimVerdicts } from "../contracts/requestmessages.ts";
import {
    type ClaimMemory,
    createClaimMemory,
    type EntryLimit,
    type KeeperOrigin,
    keeperOrigins,
} from "../decisions/claim.ts";
import type { RevisionTracker } from "../decisions/revisiontracker.ts";
import type { HostLinks } from "../links/hosts.ts";
import type { Log } from "../links/logs.ts";
import type { Metrics } from "../links/metrics.ts";
import type { ObjectView } from "./objects.ts";

export type ClaimKeeperOptions = {
    host: string;
    objects: ObjectView;
    hosts: Pick<HostLinks, "ask" | "handle">;
    currency: RevisionTracker;
    /** Resolves after the first complete read of the platform. */
    ready: Promise<void>;
    claimEntries: number;
    claimAgeMilliseconds: number;
    /** Time after which hosts that can not be reached have certainly stopped to keep claims under older keepers. */
    lapseMilliseconds: number;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

export type ClaimKeeper = {
    /** Answers a claim of this host or of another. */
    claim: (question: ClaimQuestion) => ClaimAnswer;
    settle: (outcome: ClaimOutcome) => void;
    /** Remembered ids, and groups that are kept here but not ready. */
    report: () => { entries: number; groups: number; notReady: number };
};

const pageTimeoutMilliseconds = 500;
const roundMilliseconds = 20;
const expiryMilliseconds = 1_000;

type Kept = { pool: string; index: number; memory: ClaimMemory; learnedAt: number; taking: boolean };

const originOf = (since: number, seenRevision: number | undefined): KeeperOrigin => {
    if (seenRevision === undefined || seenRevision >= since) {
        return keeperOrigins.found;
    }
    return seenRevision === 0 && since === 1 ? keeperOrigins.born : keeperOrigins.changed;
};

/** Starts the keeper until the signal aborts. */
export const createClaimKeeper = (options: ClaimKeeperOptions): ClaimKeeper => {
    const { host, objects, hosts, currency, clock, log, metrics, signal } = options;
    const kept = new Map<string, Kept>();
    /** Newest revision seen of each pool; 0 for a pool that was seen without any assignment. */
    const revisions = new Map<string, number>();
    const bound: EntryLimit = { used: 0, max: options.claimEntries };
    /** Groups whose memory may have to be taken over; only new keepers make it so. */
    const unready = new Set<Kept>();
    let isReady = false;

    const keptOf = (pool: string, index: number): Kept | undefined => kept.get(`${pool}/${index}`);

    const observe = (pool: string): void => {
        const assignment = objects.get("assignments", pool)?.value;
        if (!isReady || assignment === undefined) {
            return;
        }
        const seen = revisions.get(pool);
        revisions.set(pool, Math.max(seen ?? 0, assignment.revision));
        assignment.keepers.forEach((group, index) => {
            let entry = keptOf(pool, index);
            if (entry === undefined && !group.hosts.includes(host)) {
                return;
            }
            if (entry === undefined) {
                const { claimAgeMilliseconds: ageMilliseconds } = options;
                const memory = createClaimMemory({ host, ageMilliseconds, entryLimit: bound });
                entry = { pool, index, memory, learnedAt: 0, taking: false };
                kept.set(`${pool}/${index}`, entry);
            }
            if (entry.memory.group()?.since !== group.since) {
                entry.memory.setKeepers(group, originOf(group.since, seen));
                entry.learnedAt = clock.now();
                unready.add(entry);
            }
        });
    };

    /** A pool that is known before its first assignment has no earlier claims. */
    const notePool = (pool: string): void => {
        if (isReady && !revisions.has(pool) && objects.get("assignments", pool) === undefined) {
            revisions.set(pool, 0);
        }
    };

    /** Copies the memory from one host. False when that host does not hold it. */
    const copyFrom = async (source: string, entry: Kept, since: number): Promise<boolean> => {
        const epoch = randomUUID();
        const pages: ClaimMemoryPage[] = [];
        let offset = 0;
        for (;;) {
            const answer = await hosts.ask(source, {
                kind: "claim-memory-question",
                pool: entry.pool,
                group: entry.index,
                since,
                epoch,
                offset,
            }, pageTimeoutMilliseconds);
            if (answer?.kind !== "claim-memory-page" || !answer.available) {
                return false;
            }
            pages.push(answer);
            offset += answer.entries.length;
            if (answer.last) {
                break;
            }
        }
        pages.forEach(page => entry.memory.importPage(page, since, epoch, clock.now()));
        return true;
    };

    const takeOver = async (entry: Kept): Promise<void> => {
        const group = entry.memory.group();
        const sources = entry.memory.handoverSources();
        if (group === undefined || sources === undefined) {
            return;
        }
        for (const source of sources) {
            if (await copyFrom(source, entry, group.since)) {
                log.info("claim-memory-taken", { pool: entry.pool, group: entry.index, from: source });
                metrics.count("claim-memory", { event: "taken" });
                return;
            }
        }
        if (clock.now() - entry.learnedAt >= options.lapseMilliseconds && !entry.memory.isReady()) {
            entry.memory.declareMemoryLost(randomUUID(), clock.now());
            if (entry.memory.isReady()) {
                log.warn("claim-memory-lost", { pool: entry.pool, group: entry.index, since: group.since });
                metrics.count("claim-memory", { event: "lost" });
            }
        }
    };

    const once = async (entry: Kept, work: () => Promise<unknown>): Promise<void> => {
        if (entry.taking) {
            return;
        }
        entry.taking = true;
        await work().finally(() => {
            entry.taking = false;
        });
    };

    /** The second keeper follows the first when both hold memory of different epochs. */
    const followFirst = (entry: Kept, otherEpoch: string | undefined): void => {
        const group = entry.memory.group();
        const differs = otherEpoch !== undefined && otherEpoch !== entry.memory.epoch();
        if (differs && group?.hosts[1] === host && entry.memory.isReady()) {
            void once(entry, () => copyFrom(group.hosts[0], entry, group.since));
        }
    };

    const claim = (question: ClaimQuestion): ClaimAnswer => {
        const entry = keptOf(question.pool, question.group);
        const refuse = (verdict: ClaimAnswer["verdict"]): ClaimAnswer => ({ kind: "claim-answer", verdict, epoch: "" });
        const revision = objects.get("assignments", question.pool)?.value.revision;
        if (entry === undefined || revision === undefined) {
            return refuse(claimVerdicts.otherKeepers);
        }
        if (!currency.isCurrent(question.pool, revision, clock.now())) {
            return refuse(claimVerdicts.notCurrent);
        }
        followFirst(entry, question.otherEpoch);
        return entry.memory.claim(question, clock.now());
    };

    const settle = (outcome: ClaimOutcome): void => keptOf(outcome.pool, outcome.group)?.memory.recordOutcome(outcome);

    hosts.handle("claim", (...[, question]) => claim(question));
    hosts.handle("claim-outcome", (...[, outcome]) => {
        settle(outcome);
        return undefined;
    });
    hosts.handle("claim-memory-question", (...[, question]) => {
        const page = keptOf(question.pool, question.group)?.memory.readPage(question, clock.now());
        return page ?? { kind: "claim-memory-page", available: false, entries: [], last: true, lostMilliseconds: 0 };
    });
    objects.onChange("pools", notePool);
    objects.onChange("assignments", observe);

    const run = async (): Promise<void> => {
        await options.ready;
        isReady = true;
        objects.list("assignments").forEach(({ name }) => observe(name));
        objects.list("pools").forEach(({ name }) => notePool(name));
        let expiredAt = clock.now();
        while (!signal.aborted) {
            for (const entry of unready) {
                if (entry.memory.handoverSources() === undefined) {
                    unready.delete(entry);
                    continue;
                }
                void once(entry, () => takeOver(entry));
            }
            if (clock.now() - expiredAt >= expiryMilliseconds) {
                expiredAt = clock.now();
                kept.forEach(entry => entry.memory.expire(expiredAt));
            }
            await clock.sleep(roundMilliseconds, signal);
        }
    };

    void run();
    return {
        claim,
        settle,
        report: () => {
            const own = [...kept.values()].filter(entry => entry.memory.group()?.hosts.includes(host) === true);
            return {
                entries: bound.used,
                groups: own.length,
                notReady: own.filter(entry => !entry.memory.isReady()).length,
            };
        },
    };
};
