/**
 * The entries that hosts tell one another without the store, as one host holds them: versioned, so that the newest value
 * of a key wins on every host in whatever order they arrive, with a lifetime, and bounded in number.
 */

export type GossipEntry = {
    key: string;
    /** Grows with each change of the key; of equal versions that of the greater origin wins. */
    version: number;
    /** Name of the host that made the change. */
    origin: string;
    value: unknown;
    /** Time since the change. */
    ageMilliseconds: number;
    /** Age at which every host drops the entry. */
    lifetimeMilliseconds: number;
};

export type GossipState = {
    /** Sets the value of a key. Returns the entry to send to other hosts. Times are monotonic milliseconds. */
    put: (key: string, value: unknown, lifetimeMilliseconds: number, now: number) => GossipEntry;
    /** Takes in entries of another host. Returns those that were news. */
    merge: (entries: readonly GossipEntry[], now: number) => GossipEntry[];
    /** Returns all entries that are still alive. */
    list: (now: number) => GossipEntry[];
    /** Equal on hosts that hold the same versions; differs almost always on others. */
    digest: (now: number) => number;
    /**
     * Digests of the parts into which keys are divided, over the entries that every host has had time to learn. Empty
     * when there are none.
     */
    partDigests: (now: number) => number[];
    /**
     * Returns the latest changes in the parts whose digests differ from those of another host, the newest first and
     * limited in number.
     */
    repairs: (otherDigests: readonly number[], now: number) => GossipEntry[];
};

/** Parts into which keys are divided: a missing entry makes hosts send one part again, and not all of their entries. */
const partCount = 32;
/** Ages between which entries are compared. Younger ones are still on their way, and older ones are not sent again. */
const comparedFromMilliseconds = 1_500;
const comparedToMilliseconds = 8_500;
/** Ages of the entries that are sent again: links delay what they carry, so that hosts differ a little in an entry's age. */
const repairedFromMilliseconds = 1_000;
const repairedToMilliseconds = 10_000;
/** Entries that are sent again on one link at a time: about 25 KB. */
const maxRepairs = 100;
/** Entries beyond the bound that are held before the oldest are dropped together. */
const surplusShare = 1 / 8;
/** Hosts take in no entry that changed within this time after the latest one that they dropped; it would come again. */
const droppedMarginMilliseconds = 500;

/** Largest version of an entry that is taken in, far from the last integer that a number holds exactly. */
export const maxGossipVersion = 2 ** 40;

type Held = Omit<GossipEntry, "ageMilliseconds"> & { changedAt: number; hash: number; part: number };

/** Hash of a text (FNV-1a, 32 bits). */
const hashOf = (text: string): number => {
    let hash = 0x811c9dc5;
    for (let index = 0; index < text.length; index += 1) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    }
    return hash >>> 0;
};

const isNewer = (entry: Pick<GossipEntry, "version" | "origin">, held: Held | undefined): boolean =>
    held === undefined || entry.version > held.version
    || (entry.version === held.version && entry.origin > held.origin);

const noDigests = (): number[] => Array.from({ length: partCount }, () => 0);

/**
 * Creates an empty state.
 *
 * @param origin name of this host.
 * @param maxEntries when there are more, those that changed longest ago are dropped and not taken in again.
 */
export const createGossipState = (origin: string, maxEntries: number): GossipState => {
    const entries = new Map<string, Held>();
    /** Entries that changed before this time are not taken in, since this host has dropped such ones. */
    let droppedUntil = -Infinity;

    const isAlive = (held: Held, now: number): boolean => now - held.changedAt < held.lifetimeMilliseconds;

    const hold = (entry: GossipEntry, now: number): void => {
        const { key, version, origin: by, value, lifetimeMilliseconds } = entry;
        const hash = hashOf(`${key} ${version} ${by}`);
        entries.delete(key);
        entries.set(key, {
            key,
            version,
            origin: by,
            value,
            lifetimeMilliseconds,
            changedAt: now - entry.ageMilliseconds,
            hash,
            part: hashOf(key) % partCount,
        });
        if (entries.size > maxEntries * (1 + surplusShare)) {
            dropOldest();
        }
    };

    const dropOldest = (): void => {
        const oldest = [...entries.values()].sort((left, right) => left.changedAt - right.changedAt)
            .slice(0, entries.size - maxEntries);
        oldest.forEach(({ key }) => entries.delete(key));
        droppedUntil = Math.max(droppedUntil, (oldest.at(-1)?.changedAt ?? -Infinity) + droppedMarginMilliseconds);
    };

    const living = (now: number): Held[] => {
        for (const [key, held] of entries) {
            if (!isAlive(held, now)) {
                entries.delete(key);
            }
        }
        return [...entries.values()];
    };

    const toEntry = (
        { key, version, origin: by, value, lifetimeMilliseconds, changedAt }: Held,
        now: number,
    ): GossipEntry => ({
        key,
        version,
        origin: by,
        value,
        ageMilliseconds: now - changedAt,
        lifetimeMilliseconds,
    });

    const isAged = ({ changedAt }: Held, from: number, to: number, now: number): boolean =>
        now - changedAt >= from && now - changedAt < to;

    const partDigests = (now: number): number[] => {
        const digests = noDigests();
        let hasAny = false;
        for (const held of living(now)) {
            if (isAged(held, comparedFromMilliseconds, comparedToMilliseconds, now)) {
                digests[held.part] = (digests[held.part] ^ held.hash) >>> 0;
                hasAny = true;
            }
        }
        return hasAny ? digests : [];
    };

    return {
        put: (key, value, lifetimeMilliseconds, now) => {
            const version = (entries.get(key)?.version ?? 0) + 1;
            const entry = { key, version, origin, value, ageMilliseconds: 0, lifetimeMilliseconds };
            hold(entry, now);
            return entry;
        },
        merge: (received, now) =>
            received.filter(entry => {
                const held = entries.get(entry.key);
                const isDropped = held === undefined && now - entry.ageMilliseconds < droppedUntil;
                const isNews = entry.version < maxGossipVersion && entry.ageMilliseconds < entry.lifetimeMilliseconds
                    && !isDropped && isNewer(entry, held);
                if (isNews) {
                    hold(entry, now);
                }
                return isNews;
            }),
        list: now => living(now).map(held => toEntry(held, now)),
        digest: now => living(now).reduce((digest, { hash }) => (digest ^ hash) >>> 0, 0),
        partDigests,
        repairs: (otherDigests, now) => {
            const own = partDigests(now);
            const differs = noDigests().map((zero, part) => (own[part] ?? zero) !== (otherDigests[part] ?? zero));
            return living(now)
                .filter(held =>
                    differs[held.part] && isAged(held, repairedFromMilliseconds, repairedToMilliseconds, now)
                )
                .sort((left, right) => right.changedAt - left.changedAt)
                .slice(0, maxRepairs)
                .map(held => toEntry(held, now));
        },
    };
};
