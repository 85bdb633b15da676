/**
 * Checks the guarantees to callers after a run: compares the outcomes that callers received with the targets' own
 * records. The checks are pure functions that use neither a clock nor a socket.
 */
import { type Outcome, outcomes } from "../src/contracts/outcome.ts";
import type { SlotHash } from "../src/decisions/hash.ts";
import { type Execution, runOutcomes } from "../stand-ins/work.ts";
import { checkOwnership, type OwnershipFindings, type TargetRunRecords } from "./ownership.ts";

/** One send of a request, as its caller saw it. Times are in milliseconds of the machine's monotonic clock. */
export type SendRecord = {
    key: string;
    /** Idempotency key, the same for each send of a request. */
    id: string;
    /** Request id that the host gave in its answer; empty when no answer came. */
    requestId: string;
    /** When the send was due. It is made at this time or later. */
    startedAt: number;
    endedAt: number;
    outcome: Outcome;
    /** Reason of a refusal; empty for an answer. */
    reason: string;
    /** Time after which the refusal asks the caller to send again; 0 when the refusal gives none. */
    retryAfterMilliseconds?: number;
    /** Whether the answer belongs to another request. */
    wrong: boolean;
    /** Whether the outcome says "answered" but the body is incomplete. */
    partial: boolean;
};

/** The records of one pool that a run leaves behind. */
export type PoolRunRecords = {
    pool: string;
    slotCount: number;
    slotHash: SlotHash;
    byKey: boolean;
    once: boolean;
    targets: TargetRunRecords[];
    sends: SendRecord[];
    /** End of the run, in milliseconds of the machine's monotonic clock. */
    endedAt: number;
};

/** Counts of sends, violations of guarantees and changes of ownership in one pool. */
export type PoolVerdict = {
    sends: number;
    requests: number;
    answered: number;
    notRun: number;
    unknown: number;
    /** Requests that may run only once and have several runs that were not rolled back. */
    doubled: number;
    /** Answers for which no target recorded a completed run. */
    lost: number;
    wrong: number;
    partial: number;
    /** Sends that were refused as `not-run` although a target ran them. */
    ranAfterNotRun: number;
    /** Times at which two targets owned the same slot or key. */
    ownersAtOnce: number;
    /** Runs that began while their target did not own the key. */
    outsideOwnership: number;
    /** Longest time from when a send was due until its key was next answered, in milliseconds. */
    longestUnservedMilliseconds: number;
    longestUnownedMilliseconds: number;
    /** Highest load of a target divided by the mean load, weighted by speed. */
    imbalance: number;
    slotsMoved: number;
    keysMoved: number;
    /** Number of sends for each reason. */
    reasons: Record<string, number>;
    /** Descriptions of the first few violations. */
    findings: string[];
};

const maxFindings = 5;
const noOwnership: OwnershipFindings = {
    overlaps: [],
    runsWithoutOwnership: [],
    slotsMoved: 0,
    keysMoved: 0,
    longestUnownedMilliseconds: 0,
};

/** Whether a run had, or may have had, an effect. */
const hadEffect = (run: Execution): boolean => run.outcome !== runOutcomes.rolledBack;

const countRunsBy = (runs: Execution[], name: "requestId" | "idempotencyKey"): Map<string, number> => {
    const counts = new Map<string, number>();
    for (const run of runs) {
        counts.set(run[name], (counts.get(run[name]) ?? 0) + 1);
    }
    return counts;
};

/** Highest load divided by the mean load, weighted by speed. An even load and no load both give 1. */
export const imbalanceOf = (loads: Array<{ load: number; speed: number }>): number => {
    const sum = loads.reduce((total, { load }) => total + load, 0);
    const speeds = loads.reduce((total, { speed }) => total + speed, 0);
    if (sum === 0) {
        return 1;
    }
    return Math.max(...loads.map(({ load, speed }) => load / speed)) / (sum / speeds);
};

/** Longest time from when a send was due until the next answer, or until the end of the run if none follows. */
const findLongestWait = (sends: SendRecord[], endedAt: number): number => {
    let nextAnswerAt = endedAt;
    let longest = 0;
    for (const send of [...sends].sort((left, right) => right.startedAt - left.startedAt)) {
        if (send.outcome === outcomes.answered) {
            nextAnswerAt = Math.min(nextAnswerAt, send.endedAt);
        }
        longest = Math.max(longest, nextAnswerAt - send.startedAt);
    }
    return longest;
};

/** Longest time for which any key waited for an answer, in milliseconds. */
export const findLongestUnserved = (sends: SendRecord[], endedAt: number): number => {
    const byKey = new Map<string, SendRecord[]>();
    for (const send of sends) {
        const sendsOfKey = byKey.get(send.key) ?? [];
        sendsOfKey.push(send);
        byKey.set(send.key, sendsOfKey);
    }
    return Math.max(0, ...[...byKey.values()].map(sendsOfKey => findLongestWait(sendsOfKey, endedAt)));
};

const countReasons = (sends: SendRecord[]): Record<string, number> => {
    const counts: Record<string, number> = {};
    for (const { reason } of sends) {
        if (reason !== "") {
            counts[reason] = (counts[reason] ?? 0) + 1;
        }
    }
    return counts;
};

/** Checks the records of one pool. */
export const checkPool = (records: PoolRunRecords): PoolVerdict => {
    const { sends, pool, targets } = records;
    const runs = targets.flatMap(target => target.executions).filter(run => run.pool === pool);
    const effects = runs.filter(hadEffect);
    const effectsById = countRunsBy(effects, "idempotencyKey");
    const effectsByRequest = countRunsBy(effects, "requestId");
    const completedRunsByRequest = countRunsBy(runs.filter(run => run.outcome === runOutcomes.ran), "requestId");
    const ownership = records.byKey
        ? checkOwnership({ ...records, keys: [...new Set(sends.map(({ key }) => key))] })
        : noOwnership;
    const doubledIds = records.once ? [...effectsById].filter(([, count]) => count > 1).map(([id]) => id) : [];
    const answered = sends.filter(send => send.outcome === outcomes.answered);
    const notRun = sends.filter(send => send.outcome === outcomes.notRun);
    const lost = answered.filter(send => !completedRunsByRequest.has(send.requestId));
    const ranAfterNotRun = notRun.filter(send => send.requestId !== "" && effectsByRequest.has(send.requestId));
    const loads = targets.map(({ speed, executions }) => ({
        speed,
        load: executions.filter(run => run.pool === pool && hadEffect(run)).length,
    }));
    return {
        sends: sends.length,
        requests: new Set(sends.map(({ id }) => id)).size,
        answered: answered.length,
        notRun: notRun.length,
        unknown: sends.length - answered.length - notRun.length,
        doubled: doubledIds.length,
        lost: lost.length,
        wrong: sends.filter(send => send.wrong).length,
        partial: sends.filter(send => send.partial).length,
        ranAfterNotRun: ranAfterNotRun.length,
        ownersAtOnce: ownership.overlaps.length,
        outsideOwnership: ownership.runsWithoutOwnership.length,
        longestUnservedMilliseconds: findLongestUnserved(sends, records.endedAt),
        longestUnownedMilliseconds: ownership.longestUnownedMilliseconds,
        imbalance: imbalanceOf(loads),
        slotsMoved: ownership.slotsMoved,
        keysMoved: ownership.keysMoved,
        reasons: countReasons(sends),
        findings: [
            ...doubledIds.map(id => `Request "${id}" of pool "${pool}" ran more than once.`),
            ...lost.map(({ id }) => `Request "${id}" of pool "${pool}" was answered and no target ran it.`),
            ...ranAfterNotRun.map(({ id, reason }) => `Request "${id}" was refused as not run (${reason}) and ran.`),
            ...ownership.overlaps.map(({ slotOrKey, first, second }) =>
                `Targets "${first.target}" and "${second.target}" of pool "${pool}" owned ${slotOrKey} at once for `
                + `${(Math.min(first.until, second.until) - second.from).toFixed(1)} ms.`
            ),
            ...ownership.runsWithoutOwnership.map(({ key }) =>
                `A request for key "${key}" of pool "${pool}" ran without a grant.`
            ),
        ].slice(0, maxFindings),
    };
};

/** Whether all guarantees to callers hold in the pool. */
export const keepsGuarantees = (verdict: PoolVerdict): boolean =>
    verdict.doubled + verdict.lost + verdict.wrong + verdict.partial + verdict.ranAfterNotRun + verdict.ownersAtOnce
            + verdict.outsideOwnership === 0;
