/**
 * Maps a failed exchange, or a refusal by the target itself, to a reason and thereby to an outcome.
 */
import type { Reason } from "../contracts/outcome.ts";
import { targetRefusals } from "../contracts/targetprotocol.ts";

/** Why the host itself aborted an exchange. */
export const stopCauses = {
    deadline: "deadline",
    /** The caller closed the connection. */
    hangUp: "hang-up",
    /** When the connection was ready, the host was no longer allowed to act on its revision of the assignment. */
    notCurrent: "not-current",
    /** The key has been assigned to another owner. */
    ownerChanged: "owner-changed",
} as const;
export type StopCause = (typeof stopCauses)[keyof typeof stopCauses];

export type ExchangeFailure = {
    /**
     * How far the exchange had come. Only `unsent` is certain; in the other stages the target may have run the request.
     */
    stage: "unsent" | "sent" | "answering";
    /** Code of the HTTP client's error. */
    code: string | undefined;
    /** Whether what the target sent is no answer. */
    isMalformed: boolean;
    /** Set when the host itself aborted the exchange. */
    stopped: StopCause | undefined;
};

/** Codes with which the HTTP client rejects a request as invalid. */
const invalidCodes = new Set(["UND_ERR_INVALID_ARG", "UND_ERR_NOT_SUPPORTED"]);

const unsentReasons: Record<StopCause, Reason> = {
    [stopCauses.deadline]: "deadline-unreachable",
    [stopCauses.hangUp]: "cancelled",
    [stopCauses.notCurrent]: "not-current",
    [stopCauses.ownerChanged]: "not-current",
};

const sentReasons: Record<StopCause, Reason> = {
    [stopCauses.deadline]: "timed-out",
    [stopCauses.hangUp]: "caller-gone",
    [stopCauses.notCurrent]: "connection-lost",
    [stopCauses.ownerChanged]: "connection-lost",
};

/** Returns the reason of a failed exchange. No byte of an unsent request can have reached the target. */
export const reasonOfFailure = ({ stage, code, isMalformed, stopped }: ExchangeFailure): Reason => {
    if (stage === "unsent") {
        if (stopped !== undefined) {
            return unsentReasons[stopped];
        }
        return invalidCodes.has(code ?? "") ? "malformed-request" : "connect-failed";
    }
    if (stopped !== undefined) {
        return sentReasons[stopped];
    }
    if (isMalformed) {
        return "answer-malformed";
    }
    return stage === "answering" ? "answer-cut-short" : "connection-lost";
};

const refusalReasons: Record<string, Reason> = {
    [targetRefusals.fence]: "fence-refused",
    [targetRefusals.noGrant]: "fence-refused",
    [targetRefusals.shed]: "target-shed",
    [targetRefusals.draining]: "target-draining",
    [targetRefusals.deadline]: "deadline-unreachable",
    [targetRefusals.cancelled]: "cancelled",
};

/** Returns the reason for a refusal code with which a target says that it did not run the request. */
export const reasonOfRefusal = (refusal: string): Reason => refusalReasons[refusal] ?? "target-refused";
