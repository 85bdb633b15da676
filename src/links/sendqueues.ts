/**
 * What the system holds of the bytes that were written to a connection, or that have arrived on it. The system takes more from
 * a process only once a large part of what it holds has gone, so writes alone do not tell a slow reader from one that reads
 * nothing.
 */
import { readFile } from "node:fs/promises";
import type { Socket } from "node:net";
import type { Clock } from "../contracts/clock.ts";

export type SendQueues = {
    /** Returns the bytes that the other end has not acknowledged; undefined when the system does not tell. */
    unacknowledged: (socket: Socket) => Promise<number | undefined>;
    /** Returns the bytes that have arrived and were not read; undefined when the system does not tell. */
    unread: (socket: Socket) => Promise<number | undefined>;
};

/** Questions at the same time are answered from one reading, whose size grows with all connections of the machine. */
const maxAgeMilliseconds = 50;

/** Width of the state, and of a queue, with the character behind it. */
const stateWidth = 3;
const queueWidth = 9;

/** An IPv4 address and port as the system's table has them. */
const toHex = (address = "", port = 0): string => {
    const bytes = address.split(".").reverse().map(part => Number(part).toString(16).padStart(2, "0"));
    return `${bytes.join("")}:${port.toString(16).padStart(4, "0")}`.toUpperCase();
};

/** Bytes of the current write that the system has not taken yet. Node tells this of whole writes only. */
export const unwrittenBytes = (socket: Socket): number | undefined =>
    (socket as { _handle?: { writeQueueSize?: number } | null })._handle?.writeQueueSize;

/** Reads the queues of IPv4 connections on Linux. */
export const createSendQueues = (clock: Pick<Clock, "now">, file = "/proc/self/net/tcp"): SendQueues => {
    let table = Promise.resolve("");
    let readAt = -Infinity;
    const readQueue = async (socket: Socket, position: number): Promise<number | undefined> => {
        if (clock.now() - readAt > maxAgeMilliseconds) {
            readAt = clock.now();
            table = readFile(file, "latin1").catch(() => "");
        }
        const { localAddress, localPort, remoteAddress, remotePort } = socket;
        const ends = `${toHex(localAddress, localPort)} ${toHex(remoteAddress, remotePort)} `;
        const text = await table;
        const at = text.indexOf(ends);
        return at === -1 ? undefined : parseInt(text.slice(at + ends.length + position), 16);
    };
    return {
        unacknowledged: socket => readQueue(socket, stateWidth),
        unread: socket => readQueue(socket, stateWidth + queueWidth),
    };
};
