/**
 * Quarantine of requests that are suspected of crashing targets. A crash is recorded when an incarnation of a target
 * ended while the request was running there. After some crashes the request is refused until they have expired.
 */

/** A crash during a request. */
export type Crash = {
    /** Identifies the incarnation of the target that ended. */
    id: string;
    /** Who had sent the request, where its content alone does not tell. */
    sender?: string | undefined;
};

type RecordedCrash = Crash & {
    /** Monotonic time in milliseconds at which this host recorded it. */
    at: number;
};

export type Suspect = {
    /** Hash of the content of the request; the same when the caller sends it again, also through another host. */
    fingerprint: string;
    pool: string;
    crashes: RecordedCrash[];
};

export type Quarantine = {
    /** Records a crash during the request. Returns true if it was not known before. */
    recordCrash: (pool: string, fingerprint: string, crash: Crash, now: number) => boolean;
    /**
     * Removes a crash because only the connection broke and the target is still alive. Returns true if it was recorded.
     */
    removeCrash: (fingerprint: string, crashId: string) => boolean;
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
/** Time in which all hosts have told which requests ran under a crash. */
const tellingMilliseconds = 50;

export type QuarantineOptions = {
    /** Time after which a crash no longer counts. */
    ageMilliseconds: number;
    /** Number of crashes from which on a request is refused; 2 by default. */
    crashesUntilQuarantine?: number | undefined;
};

/** Creates an empty quarantine. */
export const createQuarantine = (
    { ageMilliseconds, crashesUntilQuarantine = 2 }: QuarantineOptions,
): Quarantine => {
    const suspects = new Map<string, Suspect>();

    /** Drops expired crashes; returns whether the request is still a suspect. */
    const prune = (suspect: Suspect, now: number): boolean => {
        suspect.crashes = suspect.crashes.filter(({ at }) => now - at < ageMilliseconds);
        if (suspect.crashes.length === 0) {
            suspects.delete(suspect.fingerprint);
        }
        return suspect.crashes.length > 0;
    };

    const find = (fingerprint: string, now: number): Suspect | undefined => {
        const suspect = suspects.get(fingerprint);
        return suspect !== undefined && prune(suspect, now) ? suspect : undefined;
    };

    const countOf = (crashes: readonly Crash[]): number => new Set(crashes.map(({ id }) => id)).size;

    /** Returns the crashes of the sender whose requests ran under the most of them. */
    const crashesOfMainSender = (crashes: readonly RecordedCrash[]): RecordedCrash[] =>
        [...new Set(crashes.map(({ sender }) => sender))]
            .filter(sender => sender !== undefined)
            .map(sender => crashes.filter(crash => crash.sender === sender))
            .sort((left, right) => countOf(right) - countOf(left))[0] ?? [];

    /** Whether other hosts may still have to tell of requests that ran under the crash. */
    const isFresh = (crashes: readonly RecordedCrash[], id: string, now: number): boolean =>
        crashes.every(crash => crash.id !== id || now - crash.at < tellingMilliseconds);

    /**
     * Whether the request is refused for its crashes. Those of one sender that are enough by themselves are put down to
     * that sender's requests: they do not count against others, unless others ran under nearly as many. Where no sender
     * had a request under all crashes, one crash less is enough if as many requests ran under them, since copies of a
     * request that is sent by many arrive at a target together.
     */
    const hasEnough = ({ crashes }: Suspect, now: number): boolean => {
        const needed = crashesUntilQuarantine;
        const count = countOf(crashes);
        const ofMain = crashesOfMainSender(crashes);
        if (ofMain.length === 0) {
            return count >= needed;
        }
        const [{ sender: main }] = ofMain;
        const countOfMain = countOf(crashes.filter(({ id, sender }) => sender === main || isFresh(crashes, id, now)));
        if (countOfMain >= needed) {
            return countOf(crashes.filter(({ sender }) => sender !== main)) >= needed - 1;
        }
        return count >= needed || (count === needed - 1 && countOfMain < count && crashes.length >= needed);
    };

    const isStronger = (left: Suspect, right: Suspect): boolean => {
        const difference = countOf(left.crashes) - countOf(right.crashes);
        return difference > 0 || (difference === 0 && left.crashes.length > right.crashes.length);
    };

    /**
     * Whether another request that is refused had part in all of its crashes, and more evidence against it: this one may
     * only have run beside it.
     */
    const isExplained = (suspect: Suspect, now: number): boolean =>
        [...suspects.values()].some(other =>
            other !== suspect && prune(other, now) && hasEnough(other, now) && isStronger(other, suspect)
            && suspect.crashes.every(({ id }) => other.crashes.some(crash => crash.id === id))
        );

    const isRefused = (suspect: Suspect, now: number): boolean => hasEnough(suspect, now) && !isExplained(suspect, now);

    /** Evicts the oldest suspect that is not quarantined; if all are, the oldest one. */
    const evictOne = (now: number): void => {
        for (const suspect of suspects.values()) {
            if (!hasEnough(suspect, now)) {
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
                evictOne(now);
            }
            const suspect = known ?? { fingerprint, pool, crashes: [] };
            suspects.set(fingerprint, suspect);
            const isNew = !suspect.crashes.some(({ id, sender }) => id === crash.id && sender === crash.sender);
            if (isNew) {
                suspect.crashes.push({ ...crash, at: now });
            }
            return isNew;
        },
        removeCrash: (fingerprint, crashId) => {
            const suspect = suspects.get(fingerprint);
            if (suspect === undefined) {
                return false;
            }
            const before = suspect.crashes.length;
            suspect.crashes = suspect.crashes.filter(({ id }) => id !== crashId);
            if (suspect.crashes.length === 0) {
                suspects.delete(fingerprint);
            }
            return suspect.crashes.length < before;
        },
        clear: fingerprint => suspects.delete(fingerprint),
        isSuspect: (fingerprint, now) => find(fingerprint, now) !== undefined,
        isQuarantined: (fingerprint, now) => {
            const suspect = find(fingerprint, now);
            return suspect !== undefined && isRefused(suspect, now);
        },
        list: now => [...suspects.values()].filter(suspect => prune(suspect, now)),
    };
};
