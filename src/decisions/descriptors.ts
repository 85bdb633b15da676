/**
 * Divides the descriptors of a process among the parts of a host, so that callers never take those that the host needs
 * for its own duties.
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
export const divideDescriptors = (limits: DescriptorLimits): Record<DescriptorPart, number> => {
    const limit = effectiveLimit(limits);
    const connections = limit - ownDescriptors - Math.min(limits.files, limit / 4);
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
