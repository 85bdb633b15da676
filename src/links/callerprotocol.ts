/**
 * The product's own protocol with callers: a request names its pool in the path, an answer carries the outcome in a
 * header, and a refusal is written as problem details (RFC 9457).
 */
import { callerHeaders, outcomes, type Reason, reasons } from "../contracts/outcome.ts";
import type { Settings } from "../contracts/settings.ts";
import { type CallerRequest, readHead } from "./callerhead.ts";
import type { CallerProtocol } from "./callers.ts";

const healthPath = "/-/health";
const unknownRequestId = "none";

const formatProblem = (requestId: string, reason: Reason, detail: string): string => {
    const { title, statusCode, sendAgain } = reasons[reason];
    return JSON.stringify({
        type: `urn:carobpier:reason:${reason}`,
        title,
        status: statusCode,
        detail,
        requestId,
        sendAgain,
    });
};

/** Creates the protocol with the deadlines of the settings. */
export const createCallerProtocol = (settings: Settings["callers"]): CallerProtocol<CallerRequest> => ({
    isHealthCheck: incoming => incoming.url === healthPath,
    read: (incoming, receivedAt) => {
        const request = readHead(incoming, settings, receivedAt);
        return typeof request === "string"
            ? { kind: "refusal", reason: "malformed-request", detail: request }
            : request;
    },
    addAnswerHeaders: (headers, requestId) => {
        headers[callerHeaders.outcome] = outcomes.answered;
        headers[callerHeaders.requestId] = requestId;
    },
    formatRefusal: ({ reason, detail, retryAfterMilliseconds }, requestId = unknownRequestId) => {
        const properties = reasons[reason];
        const headers: Record<string, string | number> = {
            "content-type": "application/problem+json",
            [callerHeaders.outcome]: properties.outcome,
            [callerHeaders.reason]: reason,
            [callerHeaders.requestId]: requestId,
        };
        if (retryAfterMilliseconds !== undefined) {
            headers["retry-after"] = Math.max(1, Math.ceil(retryAfterMilliseconds / 1_000));
        }
        return { statusCode: properties.statusCode, headers, body: formatProblem(requestId, reason, detail) };
    },
});
