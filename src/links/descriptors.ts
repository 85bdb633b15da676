/**
 * The process's descriptors that are connections, counted by the part of the program that uses them.
 */
import { readFileSync } from "node:fs";
import type { Socket } from "node:net";
import type { buildConnector } from "undici";
import type { Metrics } from "./metrics.ts";

/** `endpoints` are the connections of health checks and of those who fetch the metrics. */
export const descriptorParts = {
    callers: "callers",
    targets: "targets",
    hosts: "hosts",
    store: "store",
    endpoints: "endpoints",
} as const;
export type DescriptorPart = (typeof descriptorParts)[keyof typeof descriptorParts];

export type Descriptors = {
    /** Counts one descriptor in the part until the returned function is called. */
    open: (part: DescriptorPart) => () => void;
    /** Counts a connection in the part until it closes. */
    track: (part: DescriptorPart, socket: Socket) => void;
    inUse: (part: DescriptorPart) => number;
    /** Sets the gauges. */
    report: () => void;
};

export type DescriptorsOptions = {
    /** Descriptors that the process may have open; undefined when it is not known. */
    limit: number | undefined;
    metrics: Pick<Metrics, "gauge">;
};

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

/** Creates the counts of one process. */
export const createDescriptors = ({ limit, metrics }: DescriptorsOptions): Descriptors => {
    const counts = new Map<DescriptorPart, number>();
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
        report: () => {
            Object.values(descriptorParts).forEach(part => metrics.gauge("descriptors", inUse(part), { part }));
            if (limit !== undefined) {
                metrics.gauge("descriptor-limit", limit);
            }
        },
    };
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
