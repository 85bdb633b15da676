/**
 * Quarantine: which requests are suspected of crashing targets. A crash is one incarnation of a target that ended while
 * the request ran there. After the second crash the request is refused until the suspicion has aged.
 */

export type Suspect = {
    /** Hash of what the request asks for; the same wherever its caller sends it again. */
    fingerprint: string;
    pool: string;
    /** Crashes with their monotonic time on this host. */
    crashes: Map<string, number>;
};

export type Quarantine = {
    /** Notes a crash under the request. True when that was news. */
    recordCrash: (pool: string, fingerprint: string, crash: string, now: number) => boolean;
    /** The connection broke but the target lives on: it was no crash. True when that was news. */
    removeCrash: (fingerprint: string, crash: string) => boolean;
    /** The request was answered: it does not crash targets. True when that was news. */
    clear: (fingerprint: string) => boolean;
    isSuspect: (fingerprint: string, now: number) => boolean;
    isQuarantined: (fingerprint: string, now: number) => boolean;
    /** Suspects, quarantined or not, oldest first. */
    list: (now: number) => Suspect[];
};

const crashesUntilQuarantine = 2;
const maxSuspects = 10_000;

/** Creates an empty quarantine whose suspicions last for the age given. */
export const createQuarantine = (ageMilliseconds: number): Quarantine => {
    const suspects = new Map<string, Suspect>();

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

    /** Keeps quarantined requests before those that are only suspected. */
    const makeRoom = (): void => {
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
                makeRoom();
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
