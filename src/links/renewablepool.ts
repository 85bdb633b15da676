/**
 * Connections to one address that are replaced together. Open connections may go silent without an error while new ones
 * work, so the first call without an answer makes all others suspect.
 */
import type { Pool as ConnectionPool } from "undici";

/** Connections that are used until the next replacement. */
export type ConnectionGeneration = {
    pool: ConnectionPool;
    /** Aborts when other connections take the place of these. */
    replaced: AbortSignal;
};

export type RenewablePool = {
    /** Returns the connections on which the next call is to be made. */
    current: () => ConnectionGeneration;
    /** Records that a call on these connections was answered. */
    recordAnswer: (generation: ConnectionGeneration) => void;
    /**
     * Records that a call on these connections got no answer in time, and replaces them. Connections that have never
     * answered are kept: the other end itself is silent then, and new ones would be no better. So are those that were
     * opened a short time ago: the other end is slow with some calls, and the pause grows while it is.
     */
    recordSilence: (generation: ConnectionGeneration) => void;
    /** Closes all connections at once. */
    close: () => void;
};

/** Least time between two replacements. It doubles while calls stay without an answer, up to the second one. */
const firstPauseMilliseconds = 4_000;
const maxPauseMilliseconds = 64_000;

/**
 * Creates the connections with `open`, and again at each replacement. Calls in flight on the former ones may end.
 *
 * @param now returns monotonic milliseconds.
 */
export const createRenewablePool = (
    open: () => ConnectionPool,
    now: () => number = () => performance.now(),
): RenewablePool => {
    const pools = new Set<ConnectionPool>();
    let pauseMilliseconds = firstPauseMilliseconds;
    let silentAt = -Infinity;
    let replacedAt = -Infinity;
    let replacement = new AbortController();
    let hasAnswered = false;

    const openGeneration = (): ConnectionGeneration => {
        const pool = open();
        pools.add(pool);
        replacement = new AbortController();
        hasAnswered = false;
        return { pool, replaced: replacement.signal };
    };
    let generation = openGeneration();

    return {
        current: () => generation,
        recordAnswer: answered => {
            hasAnswered ||= answered === generation;
        },
        recordSilence: silent => {
            const time = now();
            if (time - silentAt >= firstPauseMilliseconds) {
                pauseMilliseconds = firstPauseMilliseconds;
            }
            silentAt = time;
            if (silent !== generation || !hasAnswered || time - replacedAt < pauseMilliseconds) {
                return;
            }
            pauseMilliseconds = replacedAt === -Infinity
                ? firstPauseMilliseconds
                : Math.min(maxPauseMilliseconds, pauseMilliseconds * 2);
            replacedAt = time;
            const { pool } = generation;
            const replaced = replacement;
            generation = openGeneration();
            replaced.abort();
            pool.close().catch(() => undefined).finally(() => pools.delete(pool));
        },
        close: () => pools.forEach(pool => void pool.destroy().catch(() => undefined)),
    };
};
