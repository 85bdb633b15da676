/**
 * Writes the HTTP answers of a stand-in target: complete ones, and malformed ones where its faults demand them.
 */
import type { ServerResponse } from "node:http";
import { targetAnswerHeaders } from "../src/contracts/targetprotocol.ts";
import type { TargetFaults } from "./targetfaults.ts";

export type Answer = { statusCode: number; body: string; headers: Record<string, string> };

/** Uses up one of the remaining malformed answers of the kind. False when none remains. */
const consumeFault = (faults: TargetFaults, name: "cutShort" | "doubled" | "mismatched" | "wrongLength"): boolean => {
    if (faults[name] === 0) {
        return false;
    }
    faults[name] -= 1;
    return true;
};

const writeComplete = (response: ServerResponse, { statusCode, body, headers }: Answer): void => {
    response.writeHead(statusCode, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
        ...headers,
    });
    response.end(body);
};

/** Announces the full content length, sends half of the body and closes the connection. */
const writeCutShort = (response: ServerResponse, { statusCode, body, headers }: Answer): void => {
    response.writeHead(statusCode, { "content-length": Buffer.byteLength(body), ...headers });
    response.write(body.slice(0, body.length / 2), () => response.destroy());
};

/** Formats an answer that announces the given content length, whatever the length of its body. */
const formatRawAnswer = ({ statusCode, body, headers }: Answer, length: number): string => {
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    return `HTTP/1.1 ${statusCode} OK\r\ncontent-length: ${length}\r\n${lines}\r\n${body}`;
};

/** Writes the answer twice, as if it also answered another request on the connection. */
const writeDoubled = (response: ServerResponse, answer: Answer): void => {
    const text = formatRawAnswer(answer, Buffer.byteLength(answer.body));
    response.socket?.write(text + text);
};

/** Writes one byte less than the announced content length and keeps the connection open. */
const writeWrongLength = (response: ServerResponse, answer: Answer): void => {
    response.socket?.write(formatRawAnswer(answer, Buffer.byteLength(answer.body) + 1));
};

/**
 * Writes the answer to a request that ran. When malformed answers remain in the faults, writes one of them instead and
 * counts it down.
 */
export const writeExecutedAnswer = (response: ServerResponse, answer: Answer, faults: TargetFaults): void => {
    if (consumeFault(faults, "cutShort")) {
        writeCutShort(response, answer);
        return;
    }
    if (consumeFault(faults, "doubled")) {
        writeDoubled(response, answer);
        return;
    }
    if (consumeFault(faults, "wrongLength")) {
        writeWrongLength(response, answer);
        return;
    }
    if (consumeFault(faults, "mismatched")) {
        const headers = { ...answer.headers, [targetAnswerHeaders.requestId]: "another-request" };
        writeComplete(response, { ...answer, body: JSON.stringify({ key: "another-key" }), headers });
        return;
    }
    writeComplete(response, answer);
};

/** Writes a complete answer, whatever the faults. */
export const writeAnswer = writeComplete;
