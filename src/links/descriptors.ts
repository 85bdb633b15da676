/**
 * The process's descriptors that are connections: counted by the part of the host that uses them, each of which has a
 * limit.
 */
import { readFileSync } from "node:fs";
import type { Socket } from "node:net";
import type { buildConnector } from "undici";
import type { Clock } from "../contracts/clock.ts";
import {
    type DescriptorLimits,
    type DescriptorPart,
    descriptorParts,
    divideDescriptors,
    effectiveLimit,
} from "../decisions/descriptors.ts";
import { createLogRateLimit } from "../decisions/lograte.ts";
import type { Log } from "./logs.ts";
import type { Metrics } from "./metrics.ts";

export type Descriptors = {
    /** Counts one descriptor in the part until the returned function is called. */
    open: (part: DescriptorPart) => () => void;
    /** Counts a connection in the part until it closes. */
    track: (part: DescriptorPart, socket: Socket) => void;
    inUse: (part: DescriptorPart) => number;
    /** Whether the part has no descriptor left. */
    isFull: (part: DescriptorPart) => boolean;
    /** Counts and logs that the part is used up, and which connection was closed or not opened for it. */
    recordFull: (part: DescriptorPart, closed: "idle" | "new") => void;
    /** Sets the gauges. */
    report: () => void;
};

export type DescriptorsOptions = {
    limits: DescriptorLimits;
    clock: Pick<Clock, "now">;
    log: Log;
    metrics: Pick<Metrics, "count" | "gauge">;
};

/** Lines a second, for each part, that tell that it is used up. */
const linesPerSecond = 1;

/** Returns the process's own limit on its open files; undefined when the system does not tell or has no limit. */
export const readOpenFilesLimit = (file = "/proc/self/limits"): number | undefined => {
    try {
        const limit = /^Max open files\s+(\d+)/m.exec(readFileSync(file, "utf8"))?.[1];
        return limit === undefined ? undefined : Number(limit);
    }
    catch {
        return undefined;
    }
};

/** Divides the descriptors of one process and counts those in use. */
export const createDescriptors = ({ limits, clock, log, metrics }: DescriptorsOptions): Descriptors => {
    const limit = effectiveLimit(limits);
    const parts = divideDescriptors(limits);
    const names = Object.values(descriptorParts);
    const counts = new Map<DescriptorPart, number>();
    const lineLimits = new Map(names.map(part => [part, createLogRateLimit(linesPerSecond)]));
    log.info("descriptors-divided", { limit, ofProcess: limits.process, files: limits.files, ...parts });

    const inUse = (part: DescriptorPart): number => counts.get(part) ?? 0;
    const open = (part: DescriptorPart): () => void => {
        let isOpen = true;
        counts.set(part, inUse(part) + 1);
        return () => {
            counts.set(part, inUse(part) - Number(isOpen));
            isOpen = false;
        };
    };
    return {
        open,
        track: (part, socket) => {
            socket.once("close", open(part));
        },
        inUse,
        isFull: part => inUse(part) >= parts[part],
        recordFull: (part, closed) => {
            metrics.count("descriptors-used-up", { part, closed });
            const line = lineLimits.get(part)?.take(clock.now());
            if (line?.write === true) {
                log.warn("descriptors-used-up", { part, closed, limit: parts[part], leftOut: line.leftOut });
            }
        },
        report: () => {
            metrics.gauge("descriptor-limit", limit);
            for (const part of names) {
                metrics.gauge("descriptors", inUse(part), { part });
                metrics.gauge("descriptor-part", parts[part], { part });
            }
        },
    };
};

/** Error code of a connection that was not opened since its part is used up. */
const usedUpCode = "DESCRIPTORS_USED_UP";

/** Whether a file or connection could not be opened for want of a descriptor, which tells nothing of the other end. */
export const isDescriptorShortage = (error: unknown): boolean =>
    ["EMFILE", "ENFILE", usedUpCode].includes((error as NodeJS.ErrnoException | undefined)?.code ?? "");

/** Wraps a connector of undici so that it opens no connection while the part is used up. */
export const limitOpenedConnections = (
    connect: buildConnector.connector,
    part: DescriptorPart,
    descriptors: Descriptors,
): buildConnector.connector =>
(target, callback) => {
    if (!descriptors.isFull(part)) {
        connect(target, callback);
        return;
    }
    descriptors.recordFull(part, "new");
    const error = Object.assign(new Error(`No descriptor is left for ${part}.`), { code: usedUpCode });
    process.nextTick(callback, error);
};

/** Wraps a connector of undici so that its connections are counted in the part, also while they are opened. */
export const countConnections = (
    connect: buildConnector.connector,
    part: DescriptorPart,
    descriptors: Descriptors,
): buildConnector.connector =>
(target, callback) => {
    const release = descriptors.open(part);
    connect(target, (...results) => {
        const [, socket] = results;
        if (!socket) {
            release();
        }
        socket?.once("close", release);
        callback(...results);
    });
};
