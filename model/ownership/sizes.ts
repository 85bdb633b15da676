/**
 * The sizes at which ownership is explored. Each exhaustive size leaves out what another one covers, so that all its
 * states can be reached.
 */
import type { Size } from "./state.ts";

/** Three hosts, one coordinator, and a slot that moves by force from target a to target b. */
export const baseSize: Size = {
    name: "move by force",
    hosts: ["h1", "h2", "h3"],
    coordinators: ["h1"],
    targets: ["a", "b"],
    renewers: { a: ["h2"], b: ["h1"] },
    otherRenewers: { a: ["h3"], b: ["h1"] },
    witnesses: ["h1", "h2", "h3"],
    otherWitnesses: ["h1", "h2"],
    unannounced: [],
    checksGrants: true,
    requestsTakeTime: false,
    hostsShareKnowledge: false,
    lateReads: false,
    vouchersApart: false,
    maxGrantsInFlight: 1,
    hasHotKey: false,
    changes: ["force"],
    maxRevision: 2,
    maxHostRestarts: 0,
    maxTargetRestarts: 0,
    timing: { timeToLiveMilliseconds: 1, freshnessMilliseconds: 1, longestDeadlineMilliseconds: 1 },
};

const pair: Size = { ...baseSize, hosts: ["h1", "h2"], witnesses: ["h1", "h2"], otherWitnesses: ["h1"] };

/** Sizes that are small enough to reach every state. */
export const exhaustiveSizes: Size[] = [
    { ...baseSize, name: "move by force, a target restarts", maxTargetRestarts: 1 },
    { ...baseSize, name: "move by force, a host restarts", maxHostRestarts: 1 },
    { ...pair, name: "move by force, late answers of the platform", lateReads: true },
    { ...pair, name: "move by force, two coordinators", coordinators: ["h1", "h2"] },
    {
        ...pair,
        name: "graceful move with work, a target restarts",
        changes: ["hand-over"],
        requestsTakeTime: true,
        maxTargetRestarts: 1,
    },
    {
        ...pair,
        name: "targets that do not check, a host joins, a host restarts",
        checksGrants: false,
        witnesses: ["h1"],
        unannounced: ["h2"],
        maxHostRestarts: 1,
    },
];

/** Sizes that are too large to reach every state and are explored along random walks. */
export const sampledSizes: Size[] = [
    {
        ...baseSize,
        name: "everything, targets that check",
        hosts: ["h1", "h2", "h3", "h4", "h5"],
        coordinators: ["h1", "h4"],
        targets: ["a", "b", "c"],
        renewers: { a: ["h1", "h2", "h3"], b: ["h2", "h3", "h4"], c: ["h3", "h4", "h5"] },
        otherRenewers: { a: ["h3", "h4", "h5"], b: ["h1", "h4", "h5"], c: ["h1", "h2", "h5"] },
        otherWitnesses: ["h3", "h4", "h5"],
        requestsTakeTime: true,
        hostsShareKnowledge: true,
        lateReads: true,
        vouchersApart: true,
        maxGrantsInFlight: 2,
        hasHotKey: true,
        changes: ["force", "hand-over", "renewers", "witnesses", "tidy", "lift"],
        maxRevision: 8,
        maxHostRestarts: 3,
        maxTargetRestarts: 3,
        timing: { timeToLiveMilliseconds: 2, freshnessMilliseconds: 3, longestDeadlineMilliseconds: 4 },
    },
    {
        ...baseSize,
        name: "everything, targets that do not check",
        hosts: ["h1", "h2", "h3", "h4"],
        coordinators: ["h1", "h4"],
        checksGrants: false,
        unannounced: ["h3"],
        otherWitnesses: ["h2", "h3", "h4"],
        hostsShareKnowledge: true,
        lateReads: true,
        vouchersApart: true,
        changes: ["force", "hand-over", "witnesses", "tidy"],
        maxRevision: 6,
        maxHostRestarts: 3,
        timing: { timeToLiveMilliseconds: 1, freshnessMilliseconds: 2, longestDeadlineMilliseconds: 3 },
    },
];
