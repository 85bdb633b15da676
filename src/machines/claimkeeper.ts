/**
 * The claim keeper remembers which request ids have run or may run, for each group whose assignment names this host as
 * a keeper. When the host becomes keeper of a group, it copies the group's memory from an earlier keeper.
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
import { forEachAlone, keepRunning, runAlone } from "./longtasks.ts";
import type { ObjectView } from "./objects.ts";

export type ClaimKeeperOptions = {
    host: string;
    objects: ObjectView;
    hosts: Pick<HostLinks, "ask" | "handle">;
    revisionTracker: RevisionTracker;
    /** Resolves after the first complete read of the platform. */
    ready: Promise<void>;
    /** Upper bound of the remembered ids of all groups together. */
    claimEntries: number;
    /** How long an id is remembered. */
    claimAgeMilliseconds: number;
    /** After this time, hosts that cannot be reached have certainly stopped granting claims for former keepers. */
    lapseMilliseconds: number;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

export type ClaimKeeper = {
    /** Answers a claim from this host or from another. */
    claim: (question: ClaimQuestion) => ClaimAnswer;
    /** Records the outcome of a request whose id was claimed. */
    settle: (outcome: ClaimOutcome) => void;
    /** Numbers of remembered ids, of groups kept here, and of those groups that are not ready to grant claims. */
    report: () => { entries: number; groups: number; notReady: number };
};

const pageTimeoutMilliseconds = 500;
const takeOverIntervalMilliseconds = 20;
const expiryIntervalMilliseconds = 1_000;

/** One group of one pool; `learnedAt` is when the host learned of the present keepers, in monotonic milliseconds. */
type KeptGroup = { pool: string; index: number; memory: ClaimMemory; learnedAt: number; copying: boolean };

/** How the host learned of keepers since revision `since`, given the newest revision that it had seen before. */
const originOf = (since: number, seenRevision: number | undefined): KeeperOrigin => {
    if (seenRevision === undefined || seenRevision >= since) {
        return keeperOrigins.found;
    }
    return seenRevision === 0 && since === 1 ? keeperOrigins.born : keeperOrigins.changed;
};

/** Starts the keeper. It runs until the signal aborts. */
export const createClaimKeeper = (options: ClaimKeeperOptions): ClaimKeeper => {
    const { host, objects, hosts, revisionTracker, clock, log, metrics, signal } = options;
    const kept = new Map<string, KeptGroup>();
    /** Newest revision seen of each pool; 0 for a pool that has been seen without an assignment. */
    const seenRevisions = new Map<string, number>();
    const entryLimit: EntryLimit = { used: 0, max: options.claimEntries };
    /** Groups whose memory may still have to be copied. A group is added only when its keepers change. */
    const unready = new Set<KeptGroup>();
    let isReady = false;

    const keptOf = (pool: string, index: number): KeptGroup | undefined => kept.get(`${pool}/${index}`);

    /** Applies the keepers that the current assignment of the pool names. */
    const applyKeepers = (pool: string): void => {
        const assignment = objects.get("assignments", pool)?.value;
        if (!isReady || assignment === undefined) {
            return;
        }
        const seen = seenRevisions.get(pool);
        seenRevisions.set(pool, Math.max(seen ?? 0, assignment.revision));
        assignment.keepers.forEach((group, index) => {
            let entry = keptOf(pool, index);
            if (entry === undefined && !group.hosts.includes(host)) {
                return;
            }
            if (entry === undefined) {
                const { claimAgeMilliseconds: ageMilliseconds } = options;
                const memory = createClaimMemory({ host, ageMilliseconds, entryLimit });
                entry = { pool, index, memory, learnedAt: 0, copying: false };
                kept.set(`${pool}/${index}`, entry);
            }
            if (entry.memory.group()?.since !== group.since) {
                entry.memory.setKeepers(group, originOf(group.since, seen));
                entry.learnedAt = clock.now();
                unready.add(entry);
            }
        });
    };

    /** Records a pool without an assignment: its first keepers then know that there are no earlier claims. */
    const recordPool = (pool: string): void => {
        if (isReady && !seenRevisions.has(pool) && objects.get("assignments", pool) === undefined) {
            seenRevisions.set(pool, 0);
        }
    };

    /** Copies the group's memory from one host, page by page. False when that host does not have it. */
    const copyFrom = async (source: string, entry: KeptGroup, since: number): Promise<boolean> => {
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

    /** Copies the memory from an earlier keeper, or declares it lost once no earlier keeper can grant claims. */
    const takeOver = async (entry: KeptGroup): Promise<void> => {
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

    /** Runs the work unless a copy for the group is already running. */
    const unlessCopying = async (entry: KeptGroup, work: () => Promise<unknown>): Promise<void> => {
        if (entry.copying) {
            return;
        }
        entry.copying = true;
        await runAlone("claim-memory", work, options);
        entry.copying = false;
    };

    /** The second keeper copies the memory of the first again when their epochs differ. */
    const copyWhenEpochsDiffer = (entry: KeptGroup, otherEpoch: string | undefined): void => {
        const group = entry.memory.group();
        const differs = otherEpoch !== undefined && otherEpoch !== entry.memory.epoch();
        if (differs && group?.hosts[1] === host && entry.memory.isReady()) {
            void unlessCopying(entry, () => copyFrom(group.hosts[0], entry, group.since));
        }
    };

    const claim = (question: ClaimQuestion): ClaimAnswer => {
        const entry = keptOf(question.pool, question.group);
        const refuse = (verdict: ClaimAnswer["verdict"]): ClaimAnswer => ({ kind: "claim-answer", verdict, epoch: "" });
        const revision = objects.get("assignments", question.pool)?.value.revision;
        if (entry === undefined || revision === undefined) {
            return refuse(claimVerdicts.otherKeepers);
        }
        if (!revisionTracker.isCurrent(question.pool, revision, clock.now())) {
            return refuse(claimVerdicts.notCurrent);
        }
        copyWhenEpochsDiffer(entry, question.otherEpoch);
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
    objects.onChange("pools", recordPool);
    objects.onChange("assignments", applyKeepers);

    const startTakeOver = (entry: KeptGroup): void => {
        if (entry.memory.handoverSources() === undefined) {
            unready.delete(entry);
            return;
        }
        void unlessCopying(entry, () => takeOver(entry));
    };

    const run = async (): Promise<void> => {
        await options.ready;
        isReady = true;
        forEachAlone("claim-keeper", objects.list("assignments"), ({ name }) => applyKeepers(name), options);
        forEachAlone("claim-keeper", objects.list("pools"), ({ name }) => recordPool(name), options);
        let expiredAt = clock.now();
        while (!signal.aborted) {
            forEachAlone("claim-keeper", unready, startTakeOver, options);
            if (clock.now() - expiredAt >= expiryIntervalMilliseconds) {
                expiredAt = clock.now();
                forEachAlone("claim-keeper", kept.values(), ({ memory }) => memory.expire(expiredAt), options);
            }
            await clock.sleep(takeOverIntervalMilliseconds, signal);
        }
    };

    void keepRunning("claim-keeper", run, options);
    return {
        claim,
        settle,
        report: () => {
            const own = [...kept.values()].filter(entry => entry.memory.group()?.hosts.includes(host) === true);
            return {
                entries: entryLimit.used,
                groups: own.length,
                notReady: own.filter(entry => !entry.memory.isReady()).length,
            };
        },
    };
};
