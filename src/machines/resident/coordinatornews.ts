/**
 * What hosts tell one another of the coordinators of pools, without the store. A coordinator that is cut off from the store
 * learns so that its term is over, and its successor learns that it sends no more grants, which it would otherwise have to
 * wait for.
 */
import { z } from "zod";
import type { Gossip } from "./gossip.ts";

/** The process that coordinates a pool in a term. */
export type Term = { term: number; coordinator: string };

/** What one controller tells of its pool. */
export type PoolNews = {
    /** Tells that this process coordinates the pool in the term. */
    announceTerm: (term: Term) => void;
    /** Tells that this process sends no grant of a term before this one any more. */
    announceRetired: (successor: Term) => void;
};

/** What one controller learns of its pool. */
export type PoolNewsListener = {
    /** Takes in who coordinates the pool in a term. */
    applyTerm: (term: Term) => void;
    /** Takes in that the process sends no grant of a term before that of the successor any more. */
    applyRetired: (process: string, successor: Term) => void;
};

export type CoordinatorNews = {
    /** Returns what tells the news of the pool. */
    of: (pool: string) => PoolNews;
    /** Sets the function that finds who learns the news of a pool. */
    listen: (find: (pool: string) => PoolNewsListener | undefined) => void;
};

export const termGossipKind = "coordinator-term";
export const retiredGossipKind = "coordinator-retired";
/** The term of a pool's coordinator, as told by `process`: of itself, or of its successor. */
export const coordinatorGossipSchema = z.object({
    pool: z.string(),
    process: z.string(),
    term: z.int().min(1),
    coordinator: z.string(),
});
type CoordinatorFact = z.infer<typeof coordinatorGossipSchema>;

/** Time for which the news are kept: a successor waits no longer for a coordinator of which it hears nothing. */
const lifetimeMilliseconds = 12_000;

/** Creates the news of the process. */
export const createCoordinatorNews = (
    process: string,
    gossip: Pick<Gossip, "put" | "onChange">,
): CoordinatorNews => {
    const tell = (kind: string, pool: string) => ({ term, coordinator }: Term): void => {
        const fact: CoordinatorFact = { pool, process, term, coordinator };
        gossip.put(kind, `${pool} ${process}`, fact, lifetimeMilliseconds);
    };
    return {
        of: pool => ({
            announceTerm: tell(termGossipKind, pool),
            announceRetired: tell(retiredGossipKind, pool),
        }),
        listen: find => {
            const on = (kind: string, apply: (listener: PoolNewsListener, fact: CoordinatorFact) => void): void =>
                gossip.onChange(kind, (...[, value]) => {
                    const fact = coordinatorGossipSchema.parse(value);
                    const listener = find(fact.pool);
                    if (listener !== undefined) {
                        apply(listener, fact);
                    }
                });
            on(termGossipKind, (listener, fact) => listener.applyTerm(fact));
            on(retiredGossipKind, (listener, fact) => listener.applyRetired(fact.process, fact));
        },
    };
};
