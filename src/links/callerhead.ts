/**
 * Reads and checks the head of a caller's request (request line and headers) before any other code uses it, so that all
 * machines on the way understand the same bytes as the same request.
 */
import { randomUUID } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { callerHeaders } from "../contracts/outcome.ts";
import type { Settings } from "../contracts/settings.ts";

/**
 * Whether the caller has hung up, and the listener that is called when it does. A single listener takes the place of an
 * abort signal for each request.
 */
export type HangUp = { happened: boolean; listener: (() => void) | undefined };

/** A request of a caller, as it was read from its head and body. */
export type CallerRequest = {
    id: string;
    method: string;
    pool: string;
    /** Path below the pool with its query; begins with `/`. */
    path: string;
    headers: IncomingMessage["headers"];
    body: Buffer | undefined;
    /** Value of the header `Carobpier-Key`. */
    key: string | undefined;
    idempotencyKey: string | undefined;
    /** Counts the caller's sends of the request from 1; undefined when the caller does not say. */
    attempt: number | undefined;
    /** Monotonic milliseconds on the host's clock. */
    receivedAt: number;
    deadlineAt: number;
    hangUp: HangUp;
};

const maxKeyLength = 1_024;
const maxIdLength = 256;
const dotSegment = /(^|\/|\\|%2f|%5c)(\.|%2e){1,2}(\/|\\|%2f|%5c|$)/i;

/**
 * Splits `/{pool}/{path}?{query}`. Undefined when the URL is not a path, or has a dot segment, plain or
 * percent-encoded, that could lead out of its pool or route.
 */
export const splitUrl = (url: string): { pool: string; path: string } | undefined => {
    if (!url.startsWith("/") || url.includes("#")) {
        return undefined;
    }
    const queryAt = url.indexOf("?");
    const wholePath = queryAt === -1 ? url : url.slice(0, queryAt);
    if (dotSegment.test(wholePath)) {
        return undefined;
    }
    const query = queryAt === -1 ? "" : url.slice(queryAt);
    const end = wholePath.indexOf("/", 1);
    return end === -1
        ? { pool: wholePath.slice(1), path: `/${query}` }
        : { pool: wholePath.slice(1, end), path: wholePath.slice(end) + query };
};

const nonEmptyHeader = (incoming: IncomingMessage, name: string): string | undefined => {
    const value = incoming.headers[name];
    return typeof value === "string" && value !== "" ? value : undefined;
};

/** Whether a header was sent twice. Node joins the values, and machines differ in which value they then read. */
const isRepeated = (incoming: IncomingMessage, name: string): boolean =>
    nonEmptyHeader(incoming, name)?.includes(",") === true && (incoming.headersDistinct[name]?.length ?? 0) > 1;

const protocolHeaders = [
    callerHeaders.key,
    callerHeaders.attempt,
    callerHeaders.deadline,
    callerHeaders.idempotencyKey,
    "authorization",
];

const parsePositiveNumber = (text: string | undefined): number | undefined | "invalid" => {
    if (text === undefined) {
        return undefined;
    }
    const value = /^\d{1,9}(\.\d{1,6})?$/.test(text) ? Number(text) : 0;
    return value > 0 ? value : "invalid";
};

/**
 * Reads a head. Returns the request, or a text that says what is wrong with it. The deadline is counted from
 * `receivedAt`, in monotonic milliseconds.
 */
export const readHead = (
    incoming: IncomingMessage,
    settings: Settings["callers"],
    receivedAt: number,
): CallerRequest | string => {
    const parsedUrl = splitUrl(incoming.url ?? "");
    if (parsedUrl === undefined) {
        return "The URL must be a path without dot segments that begins with the pool.";
    }
    if (incoming.httpVersion !== "1.1") {
        return "HTTP/1.1 is needed, since older versions can not tell an answer that was cut short.";
    }
    const repeated = protocolHeaders.find(name => isRepeated(incoming, name));
    if (repeated !== undefined) {
        return `The header ${repeated} must be sent once.`;
    }
    const key = nonEmptyHeader(incoming, callerHeaders.key);
    const idempotencyKey = nonEmptyHeader(incoming, callerHeaders.idempotencyKey);
    if ((key?.length ?? 0) > maxKeyLength || (idempotencyKey?.length ?? 0) > maxIdLength) {
        return `A key may have ${maxKeyLength} characters and an ${callerHeaders.idempotencyKey} ${maxIdLength}.`;
    }
    const attempt = parsePositiveNumber(nonEmptyHeader(incoming, callerHeaders.attempt));
    if (attempt === "invalid" || !Number.isInteger(attempt ?? 1)) {
        return `The header ${callerHeaders.attempt} must be a whole number from 1.`;
    }
    const deadline = parsePositiveNumber(nonEmptyHeader(incoming, callerHeaders.deadline));
    if (deadline === "invalid") {
        return `The header ${callerHeaders.deadline} must be a number of milliseconds above 0.`;
    }
    const requestedMilliseconds = deadline ?? settings.defaultDeadlineMilliseconds;
    return {
        id: randomUUID(),
        method: incoming.method ?? "GET",
        pool: parsedUrl.pool,
        path: parsedUrl.path,
        headers: incoming.headers,
        body: undefined,
        key,
        idempotencyKey,
        attempt,
        receivedAt,
        deadlineAt: receivedAt + Math.min(requestedMilliseconds, settings.maxDeadlineMilliseconds),
        hangUp: { happened: false, listener: undefined },
    };
};
