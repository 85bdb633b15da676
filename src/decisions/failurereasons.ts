/**
 * Classifying: which reason, and so which outcome, a failed exchange or a target's own refusal has.
 */
import type { Reason } from "../contracts/outcome.ts";
import { targetRefusals } from "../contracts/targetprotocol.ts";

/** Why the host itself gave an exchange up. */
export const stopCauses = {
    deadline: "deadline",
    hangUp: "hang-up",
    /** The host could no longer act on the revision when the connection was ready. */
    notCurrent: "not-current",
    /** The key has another owner now. */
    ownerChanged: "owner-changed",
} as const;
export type StopCause = (typeof stopCauses)[keyof typeof stopCauses];

export type ExchangeFailure = {
    /** How far the request had come. Only `unsent` is certain. */
    stage: "unsent" | "sent" | "answering";
    /** Code and name of the HTTP client's error. */
    code: string | undefined;
    name: string;
    stopped: StopCause | undefined;
};

const invalidCodes = new Set(["UND_ERR_INVALID_ARG", "UND_ERR_NOT_SUPPORTED"]);

const isParserError = (name: string, code: string | undefined): boolean =>
    name === "HTTPParserError" || code === "UND_ERR_HEADERS_OVERFLOW";

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

/** Reason of an exchange that failed. Not one byte of an unsent request can have reached the target. */
export const reasonOfFailure = ({ stage, code, name, stopped }: ExchangeFailure): Reason => {
    if (stage === "unsent") {
        if (stopped !== undefined) {
            return unsentReasons[stopped];
        }
        return invalidCodes.has(code ?? "") ? "malformed-request" : "connect-failed";
    }
    if (stopped !== undefined) {
        return sentReasons[stopped];
    }
    if (isParserError(name, code)) {
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

/** Reason of a target's own word that it did not run the request. */
export const reasonOfRefusal = (refusal: string): Reason => refusalReasons[refusal] ?? "target-refused";
