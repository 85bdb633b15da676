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
};

/** Largest version of an entry that is taken in, far from the last integer that a number holds exactly. */
export const maxGossipVersion = 2 ** 40;

type Held = Omit<GossipEntry, "ageMilliseconds"> & { changedAt: number; hash: number };

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

/**
 * Creates an empty state.
 *
 * @param origin name of this host.
 * @param maxEntries when there are more, the oldest are dropped.
 */
export const createGossipState = (origin: string, maxEntries: number): GossipState => {
    /** In the order in which this host learned of the changes. */
    const entries = new Map<string, Held>();

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
        });
        for (const oldest of entries.keys()) {
            if (entries.size <= maxEntries) {
                return;
            }
            entries.delete(oldest);
        }
    };

    const living = (now: number): Held[] => {
        for (const [key, held] of entries) {
            if (!isAlive(held, now)) {
                entries.delete(key);
            }
        }
        return [...entries.values()];
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
                const isNews = entry.version < maxGossipVersion && entry.ageMilliseconds < entry.lifetimeMilliseconds
                    && isNewer(entry, entries.get(entry.key));
                if (isNews) {
                    hold(entry, now);
                }
                return isNews;
            }),
        list: now =>
            living(now).map(({ key, version, origin: by, value, lifetimeMilliseconds, changedAt }) => ({
                key,
                version,
                origin: by,
                value,
                ageMilliseconds: now - changedAt,
                lifetimeMilliseconds,
            })),
        digest: now => living(now).reduce((digest, { hash }) => (digest ^ hash) >>> 0, 0),
    };
};
