/**
 * Claims the ids of requests that may run only once. Before such a request is sent, all claim keepers of the id's group
 * must grant the claim, and all in the same epoch.
 */
import { createHash } from "node:crypto";
import type { KeeperGroup } from "../contracts/assignment.ts";
import type { Clock } from "../contracts/clock.ts";
import type { Reason } from "../contracts/outcome.ts";
import type { ClaimAnswer, ClaimOutcome, ClaimQuestion, ClaimVerdict } from "../contracts/requestmessages.ts";
import { claimVerdicts } from "../contracts/requestmessages.ts";
import type { SlotHash } from "../decisions/hash.ts";
import type { CallerRequest } from "../links/callers.ts";
import type { HostLinks } from "../links/hosts.ts";
import type { ClaimKeeper } from "./claimkeeper.ts";
import type { ObjectView } from "./objects.ts";

/** A claim that was granted by all keepers. */
export type Claim = {
    /** Reports the outcome of the request to the keepers. Called once. */
    settle: (outcome: ClaimOutcome["outcome"]) => void;
};

export type ClaimRefusal = { reason: Reason; detail: string };

export type Claims = {
    /**
     * Claims the idempotency key of the request. Asks again until all keepers grant the claim, one of them decides
     * against it, or the deadline passes.
     *
     * @param plan name of the caller's plan; equal ids of different plans are claimed separately.
     */
    claim: (request: CallerRequest, plan: string) => Promise<Claim | ClaimRefusal>;
};

export type ClaimsOptions = {
    host: string;
    objects: ObjectView;
    hosts: Pick<HostLinks, "ask" | "tell">;
    keeper: Pick<ClaimKeeper, "claim" | "settle">;
    slotHash: SlotHash;
    clock: Clock;
};

const keeperTimeoutMilliseconds = 100;
const firstRetryDelayMilliseconds = 3;
const maxRetryDelayMilliseconds = 40;
/** How long an attempt that the first keeper granted waits for a competing attempt to withdraw at the second keeper. */
const competingClaimMilliseconds = 100;

/** Verdicts of any keeper that end the attempt at once. */
const finalRefusals: Partial<Record<ClaimVerdict, ClaimRefusal>> = {
    [claimVerdicts.answered]: {
        reason: "duplicate-answered",
        detail: "The request with this id ran and was answered before.",
    },
    [claimVerdicts.unknown]: {
        reason: "duplicate-unknown",
        detail: "What became of an earlier send with this id is not known.",
    },
    [claimVerdicts.memoryLost]: {
        reason: "claim-memory-lost",
        detail: "Earlier claims are lost, and the id is not known to be sent for the first time.",
    },
    [claimVerdicts.full]: { reason: "claims-full", detail: "The claim keepers remember no further id now." },
};

const runningRefusal: ClaimRefusal = {
    reason: "duplicate-running",
    detail: "Another send with this id runs or waits.",
};

/** Hash of plan, pool and id. It has a fixed size and is the same on every host. */
export const claimId = (plan: string, pool: string, id: string): string =>
    createHash("sha256").update(`${plan}\n${pool}\n${id}`).digest("base64url").slice(0, 24);

/** The answers of all keepers of a group to one question; undefined for a keeper that did not answer. */
type Round = { group: KeeperGroup; answers: Array<ClaimAnswer | undefined> };

const isGranted = ({ answers }: Round): boolean =>
    answers.every(answer => answer?.verdict === claimVerdicts.granted && answer.epoch === answers[0]?.epoch);

/** The refusal that a round decides on; undefined when the keepers are to be asked again. */
const finalRefusal = ({ answers }: Round): ClaimRefusal | undefined => {
    for (const answer of answers) {
        const refusal = answer === undefined ? undefined : finalRefusals[answer.verdict];
        if (refusal !== undefined) {
            return refusal;
        }
    }
    return answers[0]?.verdict === claimVerdicts.running ? runningRefusal : undefined;
};

/** Creates the claims of one host. */
export const createClaims = (options: ClaimsOptions): Claims => {
    const { host, objects, hosts, keeper, slotHash, clock } = options;

    const ask = async (name: string, question: ClaimQuestion): Promise<ClaimAnswer | undefined> => {
        if (name === host) {
            return keeper.claim(question);
        }
        const answer = await hosts.ask(name, question, keeperTimeoutMilliseconds);
        return answer?.kind === "claim-answer" ? answer : undefined;
    };

    const tell = (names: Iterable<string>, outcome: ClaimOutcome): void => {
        for (const name of names) {
            if (name === host) {
                keeper.settle(outcome);
            }
            else {
                hosts.tell(name, outcome);
            }
        }
    };

    const claim: Claims["claim"] = async (request, plan) => {
        const { pool } = request;
        const id = claimId(plan, pool, request.idempotencyKey ?? "");
        const asked = new Set<string>();
        const epochs = new Map<string, string>();
        const startedAt = clock.now();
        let index = 0;
        let retryDelay = firstRetryDelayMilliseconds;

        const settle = (outcome: ClaimOutcome["outcome"]): void => {
            tell(asked, { kind: "claim-outcome", pool, group: index, id, token: request.id, outcome });
        };
        /** Releases the claim at the keepers that may have granted it. */
        const withdraw = (refusal: ClaimRefusal): ClaimRefusal => {
            settle("not-run");
            return refusal;
        };
        const askAll = async (group: KeeperGroup): Promise<Round> => {
            const answers = await Promise.all(group.hosts.map((name, position) => {
                asked.add(name);
                const otherEpoch = epochs.get(group.hosts[1 - position]);
                return ask(name, {
                    kind: "claim",
                    pool,
                    group: index,
                    since: group.since,
                    id,
                    token: request.id,
                    firstAttempt: request.attempt === 1,
                    ageMilliseconds: Math.max(0, clock.now() - request.receivedAt),
                    ...(otherEpoch === undefined ? {} : { otherEpoch }),
                });
            }));
            group.hosts.forEach((name, position) => {
                const answer = answers[position];
                if (answer?.verdict === claimVerdicts.granted) {
                    epochs.set(name, answer.epoch);
                }
            });
            return { group, answers };
        };

        for (;;) {
            const keepers = objects.get("assignments", pool)?.value.keepers ?? [];
            if (keepers.length > 0) {
                index = slotHash(id, keepers.length);
                const round = await askAll(keepers[index]);
                if (round.group.hosts.length > 0 && isGranted(round)) {
                    return { settle };
                }
                const refusal = finalRefusal(round);
                if (refusal !== undefined) {
                    return withdraw(refusal);
                }
                const isCompeting = round.answers[1]?.verdict === claimVerdicts.running;
                if (isCompeting && clock.now() - startedAt > competingClaimMilliseconds) {
                    return withdraw(runningRefusal);
                }
            }
            if (request.hangUp.happened) {
                return withdraw({ reason: "cancelled", detail: "The caller hung up before the request was sent." });
            }
            if (clock.now() + retryDelay >= request.deadlineAt) {
                return withdraw({
                    reason: "keepers-unavailable",
                    detail: "Not all claim keepers of the id answered in time.",
                });
            }
            await clock.sleep(retryDelay);
            retryDelay = Math.min(maxRetryDelayMilliseconds, retryDelay * 2);
        }
    };

    return { claim };
};
