/**
 * The claims of one group as one claim keeper remembers them. A keeper answers a claim only while its host is listed as
 * a keeper, the asking host knows the same keepers, and the keeper either holds all earlier claims or knows that they
 * were lost.
 *
 * Why no id is granted twice: a claim is valid only when all keepers of the group granted it in the same epoch. A
 * keeper that is new or has restarted copies the memory from a keeper that no longer grants under the previous set of
 * keepers, so that the copy contains every valid claim. A host asks the previous keepers only if it knows that it has
 * never kept claims under the current set: no claim of the current set is valid without its grant, so the previous
 * keepers know all valid claims. Each handover starts a new epoch, so that a grant of the lost keeper is never combined
 * with a grant that was made after the memory was copied.
 */
import type { KeeperGroup } from "../contracts/assignment.ts";
import {
    type ClaimAnswer,
    type ClaimMemoryPage,
    type ClaimMemoryQuestion,
    type ClaimOutcome,
    type ClaimQuestion,
    type ClaimState,
    claimStates,
    type ClaimVerdict,
    claimVerdicts,
} from "../contracts/requestmessages.ts";

/** How a host learned which hosts keep the claims of a group. */
export const keeperOrigins = {
    /** The host has seen the pool without any assignment, so nothing was claimed before. */
    born: "born",
    /** The keepers were named while the host was running, so it knows what it has kept since then. */
    changed: "changed",
    /** The keepers were already named when the host started; an earlier process of the host may have kept claims. */
    found: "found",
} as const;
export type KeeperOrigin = (typeof keeperOrigins)[keyof typeof keeperOrigins];

/** Number of entries of all groups of one keeper and its upper limit, shared by the memories of the groups. */
export type EntryLimit = { used: number; readonly max: number };

export type ClaimMemoryOptions = {
    host: string;
    /** How long an id is remembered. Callers must not reuse an id after this time. */
    ageMilliseconds: number;
    entryLimit: EntryLimit;
    /** Number of entries on one page of a handover. */
    pageEntries?: number;
};

export type ClaimMemory = {
    /** Sets the keepers of the group; a set that is not newer than the current one is ignored. */
    setKeepers: (group: KeeperGroup, origin: KeeperOrigin) => void;
    /** Decides on one claim and remembers the id when it is granted. */
    claim: (question: ClaimQuestion, now: number) => ClaimAnswer;
    /** Stores the outcome of a claimed request, or removes the claim when the request did not run. */
    recordOutcome: (outcome: ClaimOutcome) => void;
    /** Hosts from which this keeper may copy the memory; undefined when it does not need a copy. */
    handoverSources: () => string[] | undefined;
    /** Returns one page of the memory for another keeper. */
    readPage: (question: ClaimMemoryQuestion, now: number) => ClaimMemoryPage;
    /** Adds one page of a handover. After the last page this keeper is ready, in the epoch given. */
    importPage: (page: ClaimMemoryPage, since: number, epoch: string, now: number) => void;
    /** Declares the earlier claims lost. Has an effect only at the first keeper of the group. */
    declareMemoryLost: (epoch: string, now: number) => void;
    /** Whether this keeper holds all earlier claims, or knows that they were lost, and may grant. */
    isReady: () => boolean;
    group: () => KeeperGroup | undefined;
    epoch: () => string;
    /** Number of remembered ids. */
    size: () => number;
    /** Removes entries older than `ageMilliseconds`. */
    expire: (now: number) => void;
};

type Entry = { token: string; state: ClaimState; at: number };

/** Epoch of a group whose memory has never been handed over. */
const firstEpoch = "first";
const defaultPageEntries = 2_000;

/**
 * Creates the memory of one group. Times are monotonic milliseconds.
 *
 * @example
 * const memory = createClaimMemory({ host: "host-a", ageMilliseconds: 60_000, entryLimit: { used: 0, max: 1_000 } });
 * memory.setKeepers({ hosts: ["host-a", "host-b"], since: 1, previous: [] }, keeperOrigins.born);
 * const place = { kind: "claim", pool: "orders", group: 0, since: 1, firstAttempt: true, ageMilliseconds: 0 };
 * memory.claim({ ...place, id: "order-1", token: "one" }, 0).verdict; // "granted"
 * memory.claim({ ...place, id: "order-1", token: "two" }, 5).verdict; // "running"
 */
export const createClaimMemory = (options: ClaimMemoryOptions): ClaimMemory => {
    const { host, ageMilliseconds, entryLimit } = options;
    const pageEntries = options.pageEntries ?? defaultPageEntries;
    const entries = new Map<string, Entry>();
    /** Ids at the start of a handover, by the epoch of the handover. */
    const snapshots = new Map<string, string[]>();
    let group: KeeperGroup | undefined;
    /** Revision of the set of keepers under which this host last held the whole memory. */
    let completeSince: number | undefined;
    let epoch = "";
    /** Whether this process was already running when the keepers were named. */
    let wasNamedHere = false;
    /** Time at which earlier claims were lost, and the time until which an id from before the loss may come again. */
    let lostAt = -Infinity;
    let lostUntil = -Infinity;

    const isReady = (): boolean => group !== undefined && completeSince === group.since && group.hosts.includes(host);

    const remove = (id: string): void => {
        if (entries.delete(id)) {
            entryLimit.used -= 1;
        }
    };

    const remember = (id: string, entry: Entry): void => {
        if (!entries.has(id)) {
            entryLimit.used += 1;
        }
        entries.set(id, entry);
    };

    /** Entries are ordered by age, except those that were imported in a handover. */
    const expire = (now: number): void => {
        for (const [id, entry] of entries) {
            if (now - entry.at < ageMilliseconds) {
                return;
            }
            remove(id);
        }
    };

    const decideClaim = (question: ClaimQuestion, now: number): ClaimVerdict => {
        if (group === undefined || !group.hosts.includes(host) || question.since !== group.since) {
            return claimVerdicts.otherKeepers;
        }
        if (!isReady()) {
            return claimVerdicts.notReady;
        }
        const known = entries.get(question.id);
        if (known !== undefined) {
            return known.token === question.token ? claimVerdicts.granted : known.state;
        }
        const receivedAt = now - question.ageMilliseconds;
        const isKnownToBeNew = question.firstAttempt && receivedAt > lostAt;
        if (now < lostUntil && !isKnownToBeNew) {
            return claimVerdicts.memoryLost;
        }
        expire(now);
        if (entryLimit.used >= entryLimit.max) {
            return claimVerdicts.full;
        }
        remember(question.id, { token: question.token, state: claimStates.running, at: now });
        return claimVerdicts.granted;
    };

    const canProvide = (since: number): boolean =>
        group !== undefined && group.since === since && completeSince !== undefined
        && (completeSince === since
            || (completeSince === group.previousSince && group.previous.includes(host)));

    const unavailable: ClaimMemoryPage = {
        kind: "claim-memory-page",
        available: false,
        entries: [],
        last: true,
        lostMilliseconds: 0,
    };

    return {
        setKeepers: (next, origin) => {
            if (group !== undefined && next.since <= group.since) {
                return;
            }
            const isContinued = completeSince !== undefined && completeSince === next.previousSince
                && next.previous.includes(host);
            group = next;
            wasNamedHere = origin !== keeperOrigins.found;
            if (!next.hosts.includes(host)) {
                return;
            }
            if (isContinued) {
                completeSince = next.since;
            }
            else if (origin === keeperOrigins.born && next.previous.length === 0) {
                completeSince = next.since;
                epoch = firstEpoch;
            }
        },
        claim: (question, now) => ({ kind: "claim-answer", verdict: decideClaim(question, now), epoch }),
        recordOutcome: outcome => {
            const entry = entries.get(outcome.id);
            if (entry?.token !== outcome.token) {
                return;
            }
            if (outcome.outcome === "not-run") {
                remove(outcome.id);
                return;
            }
            entry.state = outcome.outcome;
        },
        handoverSources: () => {
            if (group === undefined || !group.hosts.includes(host) || isReady()) {
                return undefined;
            }
            const names = wasNamedHere ? [...group.hosts, ...group.previous] : group.hosts;
            return [...new Set(names)].filter(name => name !== host);
        },
        readPage: (question, now) => {
            if (!canProvide(question.since)) {
                return unavailable;
            }
            if (question.offset === 0) {
                epoch = question.epoch;
                snapshots.clear();
                snapshots.set(epoch, [...entries.keys()]);
            }
            const ids = snapshots.get(question.epoch);
            if (ids === undefined) {
                return unavailable;
            }
            const last = question.offset + pageEntries >= ids.length;
            const pageIds = ids.slice(question.offset, question.offset + pageEntries);
            if (last) {
                snapshots.delete(question.epoch);
            }
            return {
                kind: "claim-memory-page",
                available: true,
                entries: pageIds.flatMap(id => {
                    const entry = entries.get(id);
                    return entry === undefined
                        ? []
                        : [{
                            id,
                            token: entry.token,
                            state: entry.state,
                            ageMilliseconds: Math.max(0, now - entry.at),
                        }];
                }),
                last,
                lostMilliseconds: Math.max(0, lostUntil - now),
            };
        },
        importPage: (page, since, newEpoch, now) => {
            for (const { id, token, state, ageMilliseconds: age } of page.entries) {
                const own = entries.get(id);
                const isSettledHere = own?.token === token && own.state !== claimStates.running;
                remember(id, isSettledHere ? own : { token, state, at: now - age });
            }
            if (page.last && group?.since === since) {
                completeSince = since;
                epoch = newEpoch;
                if (page.lostMilliseconds > 0) {
                    lostUntil = Math.max(lostUntil, now + page.lostMilliseconds);
                    lostAt = Math.max(lostAt, now);
                }
            }
        },
        declareMemoryLost: (newEpoch, now) => {
            if (group !== undefined && group.hosts[0] === host && !isReady()) {
                completeSince = group.since;
                epoch = newEpoch;
                lostAt = now;
                lostUntil = now + ageMilliseconds;
            }
        },
        isReady,
        group: () => group,
        epoch: () => epoch,
        size: () => entries.size,
        expire,
    };
};
