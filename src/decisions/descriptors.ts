/**
 * Divides the descriptors of a process among the parts of a host, so that callers never take those that the host needs
 * for its own duties. A shortage shows that there are fewer than was assumed.
 */

/** `targets` are connections that carry requests or grants, `hosts` those to and of other hosts. */
export const descriptorParts = {
    callers: "callers",
    targets: "targets",
    hosts: "hosts",
    store: "store",
    health: "health",
    metrics: "metrics",
} as const;
export type DescriptorPart = (typeof descriptorParts)[keyof typeof descriptorParts];

export type DescriptorLimits = {
    /** Open files that the system allows the process; undefined when it is not known. */
    process: number | undefined;
    /** Descriptors that the deployment allows; undefined when it does not tell. */
    stated: number | undefined;
    /** Descriptors that are kept for files. */
    files: number;
};

/** Assumed when neither limit is known. */
const defaultLimit = 1_024;
/** Standard streams, event loop, listening sockets. */
const ownDescriptors = 16;
/** The client of the store has up to ten connections, and replaces them one by one. */
const storeDescriptors = 12;
/** Of health and of metrics. */
const maxEndpointDescriptors = 16;
/** Fractions of what remains; the callers get the rest. */
const targetsFraction = 0.3;
const hostsFraction = 0.25;
/** The least that a part needs, whatever the limit. */
const minDescriptors = 4;

const atLeastMin = (count: number): number => Math.max(minDescriptors, Math.floor(count));

/**
 * Returns the limit that holds: the one that the deployment states, which knows whether its systems count connections
 * and files apart, or else that of the process.
 */
export const effectiveLimit = ({ process, stated }: DescriptorLimits): number => stated ?? process ?? defaultLimit;

/**
 * Returns the number of connections that each part may have open. Below a limit of about a hundred, the parts' minima
 * may sum up to more than the limit.
 */
export const divideDescriptors = (limit: number, files: number): Record<DescriptorPart, number> => {
    const connections = limit - ownDescriptors - Math.min(files, limit / 4);
    const endpoint = atLeastMin(Math.min(maxEndpointDescriptors, connections / 16));
    const shared = connections - storeDescriptors - 2 * endpoint;
    const targets = atLeastMin(shared * targetsFraction);
    const hosts = atLeastMin(shared * hostsFraction);
    return {
        callers: atLeastMin(shared - targets - hosts),
        targets,
        hosts,
        store: storeDescriptors,
        health: endpoint,
        metrics: endpoint,
    };
};

/** The limit in force. It falls with a shortage, and rises in steps while there is none. */
export type DescriptorBudget = {
    limit: number;
    /** When the limit fell or rose last. */
    changedAt: number;
    /** Time without a shortage after which the limit rises by a step. */
    pauseMilliseconds: number;
    /** Fraction of the full limit by which it rises next where that many descriptors are there. */
    stepFraction: number;
};

const firstPauseMilliseconds = 10_000;
const maxPauseMilliseconds = 320_000;
/** Connections that are closed for a shortage give their descriptors back within this time. */
const settleMilliseconds = 500;
/** With fewer connections, files or another process cause the shortage, and closing connections mends nothing. */
const minShortConnections = 64;
/** Fraction of the full limit by which the limit rises at first, and where the descriptors are not known to be there. */
const firstStepFraction = 1 / 32;

export const fullBudget = (limits: DescriptorLimits): DescriptorBudget => ({
    limit: effectiveLimit(limits),
    changedAt: -Infinity,
    pauseMilliseconds: firstPauseMilliseconds,
    stepFraction: firstStepFraction,
});

/**
 * Returns the budget after a shortage. Its limit is the number of connections that were open, so that the part of files
 * is free again when it is kept.
 */
export const budgetAfterShortage = (budget: DescriptorBudget, connections: number, now: number): DescriptorBudget =>
    now - budget.changedAt < settleMilliseconds || connections < minShortConnections ? budget : {
        limit: Math.min(budget.limit, connections),
        changedAt: now,
        pauseMilliseconds: Math.min(maxPauseMilliseconds, 2 * budget.pauseMilliseconds),
        stepFraction: firstStepFraction,
    };

/**
 * Returns the budget at a time when no shortage is seen. Each step is twice the one before as long as `isThere` tells that
 * the process can have all descriptors of the higher limit; otherwise it is a first step, since systems may count files and
 * connections apart.
 */
export const budgetAt = (
    budget: DescriptorBudget,
    limits: DescriptorLimits,
    now: number,
    isThere: (limit: number) => boolean = () => false,
): DescriptorBudget => {
    const full = effectiveLimit(limits);
    if (budget.limit >= full || now - budget.changedAt < budget.pauseMilliseconds) {
        return budget;
    }
    const after = (fraction: number): number => Math.min(full, budget.limit + Math.ceil(full * fraction));
    const isKnown = isThere(after(budget.stepFraction));
    const limit = after(isKnown ? budget.stepFraction : firstStepFraction);
    const stepFraction = isKnown ? 2 * budget.stepFraction : firstStepFraction;
    return limit === full ? fullBudget(limits) : { ...budget, limit, changedAt: now, stepFraction };
};

/** A check opens no more files at once, since it holds the event loop. */
const maxRiseFiles = 4_096;

/**
 * Returns the number of files that shows, when they can be opened at once, that the process can have all descriptors of a
 * limit; undefined where there are too many to try, or more than half of those that the system has left for all processes.
 */
export const riseProbe = (
    limit: number,
    files: number,
    connections: number,
    leftOfSystem: number | undefined,
): number | undefined => {
    const needed = Math.max(0, Math.ceil(limit - ownDescriptors - Math.min(files, limit / 4) - connections));
    return needed > maxRiseFiles || needed > (leftOfSystem ?? Infinity) / 2 ? undefined : needed;
};

/** A check whether the process can still open files; undefined while it has no cause for one. */
export type DescriptorProbe = {
    /** Files to open at the same time. */
    files: number;
    /** Number of connections at which the next check is due when this one succeeds. */
    nextAt: number;
};

const maxProbeFiles = 64;

/**
 * Returns the check that is due at a number of open connections. It is due only where the limit is beyond the process's
 * own, and connections may be half of that.
 */
export const descriptorProbe = (limits: DescriptorLimits, connections: number): DescriptorProbe | undefined => {
    const { process } = limits;
    if (process === undefined || effectiveLimit(limits) <= process || connections < process / 2) {
        return undefined;
    }
    const files = Math.min(maxProbeFiles, Math.ceil(process / 8));
    return { files, nextAt: connections + Math.ceil(files / 2) };
};
