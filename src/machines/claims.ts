/**
 * Claims: before a request that may run once is sent, its id is claimed with all keepers of the id's group. Nothing is
 * sent unless all of them granted it in one epoch.
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
    /** Tells the keepers what became of the request. Called once. */
    settle: (outcome: ClaimOutcome["outcome"]) => void;
};

export type ClaimRefusal = { reason: Reason; detail: string };

export type Claims = {
    /** @param plan name of the caller's plan; ids of different plans are different. */
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

const askMilliseconds = 100;
const firstPauseMilliseconds = 3;
const maxPauseMilliseconds = 40;
/** How long an attempt that the first keeper granted waits for a rival to give up at the second. */
const rivalMilliseconds = 100;

const finalReasons: Partial<Record<ClaimVerdict, ClaimRefusal>> = {
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

const running: ClaimRefusal = {
    reason: "duplicate-running",
    detail: "Another send with this id runs or waits.",
};

/** Hash of plan, pool and id: bounded in size, and equal for the same id wherever it is sent. */
export const claimId = (plan: string, pool: string, id: string): string =>
    createHash("sha256").update(`${plan}\n${pool}\n${id}`).digest("base64url").slice(0, 24);

type Round = { group: KeeperGroup; answers: Array<ClaimAnswer | undefined> };

const isGranted = ({ answers }: Round): boolean =>
    answers.every(answer => answer?.verdict === claimVerdicts.granted && answer.epoch === answers[0]?.epoch);

const finalRefusal = ({ answers }: Round): ClaimRefusal | undefined => {
    for (const answer of answers) {
        const refusal = answer === undefined ? undefined : finalReasons[answer.verdict];
        if (refusal !== undefined) {
            return refusal;
        }
    }
    return answers[0]?.verdict === claimVerdicts.running ? running : undefined;
};

/** Creates the claims of one host. */
export const createClaims = (options: ClaimsOptions): Claims => {
    const { host, objects, hosts, keeper, slotHash, clock } = options;

    const ask = async (name: string, question: ClaimQuestion): Promise<ClaimAnswer | undefined> => {
        if (name === host) {
            return keeper.claim(question);
        }
        const answer = await hosts.ask(name, question, askMilliseconds);
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
        let pause = firstPauseMilliseconds;

        const settle = (outcome: ClaimOutcome["outcome"]): void => {
            tell(asked, { kind: "claim-outcome", pool, group: index, id, token: request.id, outcome });
        };
        const giveUp = (refusal: ClaimRefusal): ClaimRefusal => {
            settle("not-run");
            return refusal;
        };
        const askAll = async (group: KeeperGroup): Promise<Round> => {
            const answers = await Promise.all(group.hosts.map((name, place) => {
                asked.add(name);
                const otherEpoch = epochs.get(group.hosts[1 - place]);
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
            group.hosts.forEach((name, place) => {
                const answer = answers[place];
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
                    return giveUp(refusal);
                }
                const isRival = round.answers[1]?.verdict === claimVerdicts.running;
                if (isRival && clock.now() - startedAt > rivalMilliseconds) {
                    return giveUp(running);
                }
            }
            if (request.hangUp.happened) {
                return giveUp({ reason: "cancelled", detail: "The caller hung up before the request was sent." });
            }
            if (clock.now() + pause >= request.deadlineAt) {
                return giveUp({
                    reason: "keepers-unavailable",
                    detail: "Not all claim keepers of the id answered in time.",
                });
            }
            await clock.sleep(pause);
            pause = Math.min(maxPauseMilliseconds, pause * 2);
        }
    };

    return { claim };
};
