/**
 * Quarantine of requests that are suspected of crashing targets. A crash is recorded when an incarnation of a target
 * ended while the request was running there. After some crashes the request is refused until they have expired.
 */

export type Suspect = {
    /** Hash of the content of the request; the same when the caller sends it again, also through another host. */
    fingerprint: string;
    pool: string;
    /** Crashes by their id, with the monotonic time in milliseconds at which this host recorded them. */
    crashes: Map<string, number>;
};

export type Quarantine = {
    /** Records a crash during the request. Returns true if it was not known before. */
    recordCrash: (pool: string, fingerprint: string, crash: string, now: number) => boolean;
    /**
     * Removes a crash because only the connection broke and the target is still alive. Returns true if it was recorded.
     */
    removeCrash: (fingerprint: string, crash: string) => boolean;
    /** Removes the suspicion because the request was answered. Returns true if there was one. */
    clear: (fingerprint: string) => boolean;
    /** Whether at least one crash is recorded. */
    isSuspect: (fingerprint: string, now: number) => boolean;
    /** Whether the request must be refused. */
    isQuarantined: (fingerprint: string, now: number) => boolean;
    /** All suspects, quarantined or not, oldest first. */
    list: (now: number) => Suspect[];
};

/** When this many requests are suspected, a new suspect replaces an old one. */
const maxSuspects = 10_000;

/**
 * Creates an empty quarantine.
 *
 * @param ageMilliseconds time after which a crash no longer counts.
 * @param crashesUntilQuarantine number of crashes from which on a request is refused.
 */
export const createQuarantine = (ageMilliseconds: number, crashesUntilQuarantine = 2): Quarantine => {
    const suspects = new Map<string, Suspect>();

    /** Drops expired crashes; returns whether the request is still a suspect. */
    const prune = (suspect: Suspect, now: number): boolean => {
        for (const [crash, at] of suspect.crashes) {
            if (now - at >= ageMilliseconds) {
                suspect.crashes.delete(crash);
            }
        }
        if (suspect.crashes.size === 0) {
            suspects.delete(suspect.fingerprint);
        }
        return suspect.crashes.size > 0;
    };

    const find = (fingerprint: string, now: number): Suspect | undefined => {
        const suspect = suspects.get(fingerprint);
        return suspect !== undefined && prune(suspect, now) ? suspect : undefined;
    };

    /** Evicts the oldest suspect that is not quarantined; if all are, the oldest one. */
    const evictOne = (): void => {
        for (const suspect of suspects.values()) {
            if (suspect.crashes.size < crashesUntilQuarantine) {
                suspects.delete(suspect.fingerprint);
                return;
            }
        }
        suspects.delete(suspects.keys().next().value ?? "");
    };

    return {
        recordCrash: (pool, fingerprint, crash, now) => {
            const known = find(fingerprint, now);
            if (known === undefined && suspects.size >= maxSuspects) {
                evictOne();
            }
            const suspect = known ?? { fingerprint, pool, crashes: new Map<string, number>() };
            suspects.set(fingerprint, suspect);
            const isNew = !suspect.crashes.has(crash);
            if (isNew) {
                suspect.crashes.set(crash, now);
            }
            return isNew;
        },
        removeCrash: (fingerprint, crash) => {
            const suspect = suspects.get(fingerprint);
            const known = suspect?.crashes.delete(crash) === true;
            if (suspect?.crashes.size === 0) {
                suspects.delete(fingerprint);
            }
            return known;
        },
        clear: fingerprint => suspects.delete(fingerprint),
        isSuspect: (fingerprint, now) => find(fingerprint, now) !== undefined,
        isQuarantined: (fingerprint, now) => (find(fingerprint, now)?.crashes.size ?? 0) >= crashesUntilQuarantine,
        list: now => [...suspects.values()].filter(suspect => prune(suspect, now)),
    };
};
