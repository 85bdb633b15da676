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
     * answered are kept: the other end itself is silent then, and new ones would be no better.
     */
    recordSilence: (generation: ConnectionGeneration) => void;
    /** Closes all connections at once. */
    close: () => void;
};

/** Creates the connections with `open`, and again at each replacement. Calls in flight on the former ones may end. */
export const createRenewablePool = (open: () => ConnectionPool): RenewablePool => {
    const pools = new Set<ConnectionPool>();
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
            if (silent !== generation || !hasAnswered) {
                return;
            }
            const { pool } = generation;
            const replaced = replacement;
            generation = openGeneration();
            replaced.abort();
            pool.close().catch(() => undefined).finally(() => pools.delete(pool));
        },
        close: () => pools.forEach(pool => void pool.destroy().catch(() => undefined)),
    };
};
