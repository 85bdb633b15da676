/**
 * Headers that are passed on. What belongs to one connection, what the sender's `Connection` header names and what is
 * the product's own is left out on both ways.
 */
import type { IncomingHttpHeaders } from "node:http";

/** Headers of one connection, and those that the HTTP client or server writes itself. */
const hopHeaders = new Set([
    "connection",
    "expect",
    "host",
    "http2-settings",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

const namedByConnection = (headers: IncomingHttpHeaders): Set<string> | undefined => {
    const { connection } = headers;
    if (connection === undefined || connection === "keep-alive" || connection === "close") {
        return undefined;
    }
    return new Set(connection.toLowerCase().split(",").map(name => name.trim()));
};

const isOwnOfRequests = (name: string): boolean =>
    name === "authorization" || name === "content-length" || name === "idempotency-key"
    || name.startsWith("carobpier-") || name.startsWith("fence-") || name.startsWith("request-");

const isOwnOfAnswers = (name: string): boolean =>
    name === "request-id" || name.startsWith("carobpier-") || name.startsWith("target-");

/** A caller's headers for the target, names and values in turn. A plain loop, since every request passes here. */
export const requestHeadersToPass = (headers: IncomingHttpHeaders, isOwn = isOwnOfRequests): string[] => {
    const passed: string[] = [];
    const named = namedByConnection(headers);
    for (const name of Object.keys(headers)) {
        const value = headers[name];
        if (typeof value === "string" && !hopHeaders.has(name) && !isOwn(name) && named?.has(name) !== true) {
            passed.push(name, value);
        }
    }
    return passed;
};

/** A target's headers for the caller. A plain loop, since every answer passes here. */
export const answerHeadersToPass = (
    headers: IncomingHttpHeaders,
    isOwn = isOwnOfAnswers,
): Record<string, string | string[]> => {
    const passed: Record<string, string | string[]> = {};
    const named = namedByConnection(headers);
    for (const name of Object.keys(headers)) {
        const value = headers[name];
        if (value !== undefined && !hopHeaders.has(name) && !isOwn(name) && named?.has(name) !== true) {
            passed[name] = value;
        }
    }
    return passed;
};

/**
 * Whether an answer says where its body ends. Without a length or chunks only the close of the connection ends it, and
 * a body cut short looks whole.
 */
export const hasKnownEnd = (method: string, statusCode: number, headers: IncomingHttpHeaders): boolean =>
    method === "HEAD" || statusCode === 204 || statusCode === 304 || headers["content-length"] !== undefined
    || headers["transfer-encoding"] !== undefined;
