/**
 * Selects the headers that are passed on between callers and targets. In both directions, hop-by-hop headers, headers
 * that the sender's `Connection` header names, and headers of the product's own protocols are left out.
 */
import type { IncomingHttpHeaders } from "node:http";
import { isBodyless } from "./answerstatus.ts";

/** Hop-by-hop headers, and headers that the HTTP client or server writes itself. */
const hopByHopHeaders = new Set([
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

const headersNamedByConnection = (headers: IncomingHttpHeaders): Set<string> | undefined => {
    const { connection } = headers;
    if (connection === undefined || connection === "keep-alive" || connection === "close") {
        return undefined;
    }
    return new Set(connection.toLowerCase().split(",").map(name => name.trim()));
};

const isRequestProtocolHeader = (name: string): boolean =>
    name === "authorization" || name === "content-length" || name === "idempotency-key"
    || name.startsWith("carobpier-") || name.startsWith("fence-") || name.startsWith("request-");

const isAnswerProtocolHeader = (name: string): boolean =>
    name === "request-id" || name.startsWith("carobpier-") || name.startsWith("target-");

/**
 * Selects the headers of a caller's request for the target, names and values in alternation. `isOwn` tells which
 * headers belong to the protocols. A plain loop for speed, since it runs for every request.
 */
export const requestHeadersToPass = (headers: IncomingHttpHeaders, isOwn = isRequestProtocolHeader): string[] => {
    const passed: string[] = [];
    const named = headersNamedByConnection(headers);
    for (const name of Object.keys(headers)) {
        const value = headers[name];
        if (typeof value === "string" && !hopByHopHeaders.has(name) && !isOwn(name) && named?.has(name) !== true) {
            passed.push(name, value);
        }
    }
    return passed;
};

/** Selects the headers of a target's answer for the caller. A plain loop for speed, since it runs for every answer. */
export const answerHeadersToPass = (
    headers: IncomingHttpHeaders,
    isOwn = isAnswerProtocolHeader,
): Record<string, string | string[]> => {
    const passed: Record<string, string | string[]> = {};
    const named = headersNamedByConnection(headers);
    for (const name of Object.keys(headers)) {
        const value = headers[name];
        if (value !== undefined && !hopByHopHeaders.has(name) && !isOwn(name) && named?.has(name) !== true) {
            passed[name] = value;
        }
    }
    return passed;
};

/** Whether the last transfer coding is chunked. A header that is repeated is an array. */
const isChunked = (codings: string | string[]): boolean =>
    codings.toString().split(",").at(-1)?.trim().toLowerCase() === "chunked";

/**
 * Whether an answer says where its body ends. Without a length or chunks, only the close of the connection ends the
 * body, and a truncated body looks whole. A transfer coding overrides a length.
 */
export const hasKnownEnd = (method: string, statusCode: number, headers: IncomingHttpHeaders): boolean => {
    if (method === "HEAD" || isBodyless(statusCode)) {
        return true;
    }
    const { "transfer-encoding": codings, "content-length": length } = headers;
    return codings === undefined ? length !== undefined : isChunked(codings);
};
