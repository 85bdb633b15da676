/**
 * The memory of one group of claims at one keeper. It answers only while its host is named as keeper, sees the same
 * keepers as the asking host, and holds the memory of all earlier claims or knows that it was lost.
 *
 * Why no id is granted twice: a claim counts only when all keepers of the group granted it in one epoch. When a keeper
 * is replaced or starts again, it takes the memory over from a keeper that grants nothing under the older keepers any
 * more; every claim that counted is in that memory. Keepers of before are asked only by a host that knows that it never
 * kept claims under the present ones, since these count nothing without it. The hand-over begins a new epoch, so that a grant of the lost
 * keeper never counts together with one that was made after the memory was copied.
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

/** How a host learned of the keepers of a group. */
export const keeperOrigins = {
    /** The host has seen the pool without any assignment: nothing was claimed before. */
    born: "born",
    /** They were named while the host ran, so that it knows what it kept since then. */
    changed: "changed",
    /** The host found them when it started, and may have kept claims in an earlier life. */
    found: "found",
} as const;
export type KeeperOrigin = (typeof keeperOrigins)[keyof typeof keeperOrigins];

/** Counts the entries of all groups of one keeper, so that their sum stays bounded. */
export type EntryLimit = { used: number; readonly max: number };

export type ClaimMemoryOptions = {
    host: string;
    /** How long an id is remembered. Callers must not send an id again after this time. */
    ageMilliseconds: number;
    entryLimit: EntryLimit;
    /** Entries of one page of a hand-over. */
    pageEntries?: number;
};

export type ClaimMemory = {
    /** Takes the keepers of the group. */
    setKeepers: (group: KeeperGroup, origin: KeeperOrigin) => void;
    claim: (question: ClaimQuestion, now: number) => ClaimAnswer;
    recordOutcome: (outcome: ClaimOutcome) => void;
    /** Hosts that may hold the memory, when this keeper has to take it over; undefined otherwise. */
    handoverSources: () => string[] | undefined;
    /** Gives one page of the memory to another keeper. */
    readPage: (question: ClaimMemoryQuestion, now: number) => ClaimMemoryPage;
    /** Takes one page; the last one makes this keeper ready in the epoch that it named. */
    importPage: (page: ClaimMemoryPage, since: number, epoch: string, now: number) => void;
    /** Gives up the memory of earlier claims. Only the first keeper of a group may do so. */
    declareMemoryLost: (epoch: string, now: number) => void;
    isReady: () => boolean;
    group: () => KeeperGroup | undefined;
    epoch: () => string;
    size: () => number;
    /** Drops what has aged. */
    expire: (now: number) => void;
};

type Entry = { token: string; state: ClaimState; at: number };

/** The epoch of a group that has never been handed over. */
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
    const { host, ageMilliseconds, entryLimit: bound } = options;
    const pageEntries = options.pageEntries ?? defaultPageEntries;
    const entries = new Map<string, Entry>();
    const snapshots = new Map<string, string[]>();
    let group: KeeperGroup | undefined;
    /** Revision of the keepers under which this host last held the whole memory. */
    let completeSince: number | undefined;
    let epoch = "";
    /** Whether this life of the host began before the keepers were named. */
    let wasNamedHere = false;
    let lostAt = -Infinity;
    let lostUntil = -Infinity;

    const isReady = (): boolean => group !== undefined && completeSince === group.since && group.hosts.includes(host);

    const remove = (id: string): void => {
        if (entries.delete(id)) {
            bound.used -= 1;
        }
    };

    const remember = (id: string, entry: Entry): void => {
        if (!entries.has(id)) {
            bound.used += 1;
        }
        entries.set(id, entry);
    };

    /** Entries stand in the order of their age, but for those of a hand-over. */
    const expire = (now: number): void => {
        for (const [id, entry] of entries) {
            if (now - entry.at < ageMilliseconds) {
                return;
            }
            remove(id);
        }
    };

    const verdictOf = (question: ClaimQuestion, now: number): ClaimVerdict => {
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
        if (bound.used >= bound.max) {
            return claimVerdicts.full;
        }
        remember(question.id, { token: question.token, state: claimStates.running, at: now });
        return claimVerdicts.granted;
    };

    const maySource = (since: number): boolean =>
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
        claim: (question, now) => ({ kind: "claim-answer", verdict: verdictOf(question, now), epoch }),
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
            if (!maySource(question.since)) {
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
            const part = ids.slice(question.offset, question.offset + pageEntries);
            if (last) {
                snapshots.delete(question.epoch);
            }
            return {
                kind: "claim-memory-page",
                available: true,
                entries: part.flatMap(id => {
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
        importPage: (page, since, named, now) => {
            for (const { id, token, state, ageMilliseconds: age } of page.entries) {
                const own = entries.get(id);
                const isSettledHere = own?.token === token && own.state !== claimStates.running;
                remember(id, isSettledHere ? own : { token, state, at: now - age });
            }
            if (page.last && group?.since === since) {
                completeSince = since;
                epoch = named;
                if (page.lostMilliseconds > 0) {
                    lostUntil = Math.max(lostUntil, now + page.lostMilliseconds);
                    lostAt = Math.max(lostAt, now);
                }
            }
        },
        declareMemoryLost: (named, now) => {
            if (group !== undefined && group.hosts[0] === host && !isReady()) {
                completeSince = group.since;
                epoch = named;
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
