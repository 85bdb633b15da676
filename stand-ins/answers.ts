/**
 * Answers of a stand-in target: whole ones, and the faulty ones that its faults ask for.
 */
import type { ServerResponse } from "node:http";
import { targetAnswerHeaders } from "../src/contracts/targetprotocol.ts";
import type { TargetFaults } from "./targetfaults.ts";

export type Answer = { statusCode: number; body: string; headers: Record<string, string> };

const takeOne = (faults: TargetFaults, name: "cutShort" | "doubled" | "mismatched" | "wrongLength"): boolean => {
    if (faults[name] === 0) {
        return false;
    }
    faults[name] -= 1;
    return true;
};

const writeWhole = (response: ServerResponse, { statusCode, body, headers }: Answer): void => {
    response.writeHead(statusCode, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
        ...headers,
    });
    response.end(body);
};

/** Announces the whole length, sends half of the body and hangs up. */
const writeCutShort = (response: ServerResponse, { statusCode, body, headers }: Answer): void => {
    response.writeHead(statusCode, { "content-length": Buffer.byteLength(body), ...headers });
    response.write(body.slice(0, body.length / 2), () => response.destroy());
};

const rawAnswer = ({ statusCode, body, headers }: Answer, length: number): string => {
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    return `HTTP/1.1 ${statusCode} OK\r\ncontent-length: ${length}\r\n${lines}\r\n${body}`;
};

/** Writes the answer twice, as if the connection had answered another request too. */
const writeDoubled = (response: ServerResponse, answer: Answer): void => {
    const text = rawAnswer(answer, Buffer.byteLength(answer.body));
    response.socket?.write(text + text);
};

/** Writes fewer bytes than the length announces and keeps the connection open. */
const writeWrongLength = (response: ServerResponse, answer: Answer): void => {
    response.socket?.write(rawAnswer(answer, Buffer.byteLength(answer.body) + 1));
};

/** Writes an answer to a request that ran, with the next fault that waits for one. */
export const writeExecutedAnswer = (response: ServerResponse, answer: Answer, faults: TargetFaults): void => {
    if (takeOne(faults, "cutShort")) {
        writeCutShort(response, answer);
        return;
    }
    if (takeOne(faults, "doubled")) {
        writeDoubled(response, answer);
        return;
    }
    if (takeOne(faults, "wrongLength")) {
        writeWrongLength(response, answer);
        return;
    }
    if (takeOne(faults, "mismatched")) {
        const headers = { ...answer.headers, [targetAnswerHeaders.requestId]: "another-request" };
        writeWhole(response, { ...answer, body: JSON.stringify({ key: "another-key" }), headers });
        return;
    }
    writeWhole(response, answer);
};

/** Writes any other answer. */
export const writeAnswer = writeWhole;
