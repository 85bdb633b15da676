/**
 * The process's descriptors that are connections: counted by the part of the host that uses them, each of which has a
 * limit. Where the process gets fewer descriptors than the deployment states, the parts shrink.
 */
import { closeSync, openSync, readFileSync } from "node:fs";
import type { Socket } from "node:net";
import type { buildConnector } from "undici";
import type { Clock } from "../contracts/clock.ts";
import {
    budgetAfterShortage,
    budgetAt,
    type DescriptorLimits,
    type DescriptorPart,
    descriptorParts,
    descriptorProbe,
    divideDescriptors,
    fullBudget,
    riseProbe,
} from "../decisions/descriptors.ts";
import { createLogRateLimit } from "../decisions/lograte.ts";
import { codeOf } from "../decisions/startwait.ts";
import type { Log } from "./logs.ts";
import type { Metrics } from "./metrics.ts";

export type Descriptors = {
    /** Counts one descriptor in the part until the returned function is called. */
    open: (part: DescriptorPart) => () => void;
    /** Counts a connection in the part until it closes, or until the returned function is called. */
    track: (part: DescriptorPart, socket: Socket) => () => void;
    inUse: (part: DescriptorPart) => number;
    /** Number of descriptors that the part may use. */
    limitOf: (part: DescriptorPart) => number;
    /** Whether the part has no descriptor left. */
    isFull: (part: DescriptorPart) => boolean;
    /** Calls the function repeatedly while the part uses more than its limit, which has become lower. */
    onExcess: (part: DescriptorPart, reduce: () => void) => void;
    /** Lowers the limits if the error tells that the system had no descriptor left. */
    recordError: (error: unknown) => void;
    /** Counts and logs that the part is used up, and which connection was closed or not opened for it. */
    recordFull: (part: DescriptorPart, closed: "idle" | "new") => void;
    /** Sets the gauges. */
    report: () => void;
};

export type DescriptorsOptions = {
    limits: DescriptorLimits;
    clock: Pick<Clock, "now" | "after">;
    log: Log;
    metrics: Pick<Metrics, "count" | "gauge">;
    /** Whether the process can open this many more files now. */
    canOpen?: (files: number) => boolean;
    /** Ends the checks of a lowered limit. */
    signal?: AbortSignal;
};

/** Lines a second that tell of a shortage, and for each part that it is used up. */
const linesPerSecond = 1;
/** Pause between checks of a lowered limit. */
const loweredCheckMilliseconds = 250;
/** Files may have taken the descriptors that an earlier check found. */
const maxProbeAgeMilliseconds = 5_000;

/** Whether the system had no descriptor left for a file or connection. */
const isSystemShortage = (error: unknown): boolean => ["EMFILE", "ENFILE"].includes(codeOf(error) ?? "");

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

/** Returns how many files the system can still open for all processes; undefined where it does not tell. */
export const readFilesLeft = (file = "/proc/sys/fs/file-nr"): number | undefined => {
    try {
        const [allocated, , limit] = readFileSync(file, "utf8").trim().split(/\s+/).map(Number);
        return limit === undefined || allocated === undefined ? undefined : limit - allocated;
    }
    catch {
        return undefined;
    }
};

/**
 * Opens files and closes them again. Connections that find no descriptor are closed by the event loop without a word, so
 * that their errors do not tell.
 */
const canOpenFiles = (files: number): boolean => {
    const opened: number[] = [];
    try {
        while (opened.length < files) {
            opened.push(openSync("/dev/null", "r"));
        }
        return true;
    }
    catch (error) {
        return !isSystemShortage(error);
    }
    finally {
        opened.forEach(file => closeSync(file));
    }
};

/** Divides the descriptors of one process and counts those in use. */
export const createDescriptors = (
    { limits, clock, log, metrics, canOpen = canOpenFiles, signal }: DescriptorsOptions,
): Descriptors => {
    let budget = fullBudget(limits);
    let parts = divideDescriptors(budget.limit, limits.files);
    const names = Object.values(descriptorParts);
    const counts = new Map<DescriptorPart, number>();
    const lineLimits = new Map(names.map(part => [part, createLogRateLimit(linesPerSecond)]));
    const shortageLines = createLogRateLimit(linesPerSecond);
    const reducers = new Map<DescriptorPart, () => void>();
    let nextProbe = { at: 0, before: -Infinity };
    let isChecking = false;

    const logDivision = (): void =>
        log.info("descriptors-divided", {
            limit: budget.limit,
            ofProcess: limits.process,
            files: limits.files,
            ...parts,
        });
    logDivision();

    const inUse = (part: DescriptorPart): number => counts.get(part) ?? 0;
    const connections = (): number => names.reduce((sum, part) => sum + inUse(part), 0);

    const setBudget = (next: typeof budget): void => {
        const isOtherLimit = next.limit !== budget.limit;
        budget = next;
        if (isOtherLimit) {
            parts = divideDescriptors(budget.limit, limits.files);
            logDivision();
        }
    };

    const isThere = (limit: number): boolean => {
        const needed = riseProbe(limit, limits.files, connections(), readFilesLeft());
        return needed !== undefined && canOpen(needed);
    };

    /** Runs while the limit is lower than at the start. */
    const checkLater = (): void => {
        if (isChecking) {
            return;
        }
        isChecking = true;
        clock.after(loweredCheckMilliseconds, () => {
            isChecking = false;
            setBudget(budgetAt(budget, limits, clock.now(), isThere));
            reduceParts();
        }, signal);
    };

    const reduceParts = (): void => {
        names.filter(part => inUse(part) > parts[part]).forEach(part => reducers.get(part)?.());
        if (budget.limit < fullBudget(limits).limit) {
            checkLater();
        }
    };

    const recordShortage = (seenBy: string): void => {
        metrics.count("descriptor-shortages", { by: seenBy });
        const open = connections();
        const line = shortageLines.take(clock.now());
        if (line.write) {
            log.warn("descriptors-short", { by: seenBy, connections: open, leftOut: line.leftOut });
        }
        setBudget(budgetAfterShortage(budget, open, clock.now()));
        reduceParts();
    };

    const probe = (): void => {
        const now = clock.now();
        const open = connections();
        if (open < nextProbe.at && now < nextProbe.before) {
            return;
        }
        const due = descriptorProbe(limits, open);
        if (due === undefined) {
            return;
        }
        nextProbe = { at: due.nextAt, before: now + maxProbeAgeMilliseconds };
        if (!canOpen(due.files)) {
            recordShortage("check");
        }
    };

    const open = (part: DescriptorPart): () => void => {
        let isOpen = true;
        counts.set(part, inUse(part) + 1);
        probe();
        return () => {
            counts.set(part, inUse(part) - Number(isOpen));
            isOpen = false;
        };
    };
    return {
        open,
        track: (part, socket) => {
            const release = open(part);
            socket.once("close", release);
            return release;
        },
        inUse,
        limitOf: part => parts[part],
        isFull: part => inUse(part) >= parts[part],
        onExcess: (part, reduce) => void reducers.set(part, reduce),
        recordError: error => {
            if (isSystemShortage(error)) {
                recordShortage("error");
            }
        },
        recordFull: (part, closed) => {
            metrics.count("descriptors-used-up", { part, closed });
            const line = lineLimits.get(part)?.take(clock.now());
            if (line?.write === true) {
                log.warn("descriptors-used-up", { part, closed, limit: parts[part], leftOut: line.leftOut });
            }
        },
        report: () => {
            metrics.gauge("descriptor-limit", budget.limit);
            for (const part of names) {
                metrics.gauge("descriptors", inUse(part), { part });
                metrics.gauge("descriptor-part", parts[part], { part });
            }
        },
    };
};

/** Error code of a connection that was not opened since its part is used up. */
export const usedUpCode = "DESCRIPTORS_USED_UP";

/** Whether a connection could not be opened for want of a descriptor, which tells nothing of the other end. */
export const isDescriptorShortage = (error: unknown): boolean =>
    isSystemShortage(error) || codeOf(error) === usedUpCode;

/**
 * Wraps a connector of undici so that its connections are counted in the part, also while they are opened.
 *
 * @param onOpen called with each connection, and with a function that counts it no longer.
 */
export const countConnections = (
    connect: buildConnector.connector,
    part: DescriptorPart,
    descriptors: Descriptors,
    onOpen: (socket: Socket, release: () => void) => void = () => undefined,
): buildConnector.connector =>
(target, callback) => {
    const release = descriptors.open(part);
    connect(target, (...results) => {
        const [error, socket] = results;
        if (socket) {
            socket.once("close", release);
            onOpen(socket, release);
        }
        else {
            descriptors.recordError(error);
            release();
        }
        callback(...results);
    });
};
