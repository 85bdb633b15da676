/**
 * Removes a pool's objects of earlier eras from the store, once the ownership of the present one has taken their place. They
 * would add up with each return of the store, until hosts have no room for the present ownership.
 */
import type { Clock } from "../../contracts/clock.ts";
import type { ObjectStore, StoreObject } from "../../contracts/objectstore.ts";
import { eraOf, isLater } from "../../contracts/storehistory.ts";
import { firstEra, poolObjectName, readPoolObjectName } from "../../decisions/poolobjectnames.ts";
import type { Log } from "../../links/logs.ts";
import { storeKinds } from "./coordination.ts";

export type EarlierErasOptions = {
    pool: string;
    store: Pick<ObjectStore, "get" | "remove">;
    clock: Clock;
    log: Log;
    signal: AbortSignal;
};

export type EarlierEras = {
    /** Takes in a coordination object of the pool, of any era, as it was read from the store. */
    applyCoordination: (object: StoreObject, removed: boolean) => void;
    /**
     * Called repeatedly while this process is the coordinator of the era and its ownership is cleared. Removes the objects of
     * one earlier era, but leaves those of the first, by which hosts of earlier versions coordinate. Rejects when the store
     * fails.
     */
    removeBefore: (present: number) => Promise<void>;
};

/** Copies from which the store comes back are not as old as this, so that they hold the ownership of the present era. */
const copyMilliseconds = 10_000;

/** Starts without any known objects. */
export const createEarlierEras = ({ pool, store, clock, log, signal }: EarlierErasOptions): EarlierEras => {
    const eras = new Set<number>();
    let present: { era: number; since: number } | undefined;

    /** Resolves to whether the object is gone. One that was read in a later era may be the newest of a copy, and is left. */
    const remove = async (kind: string, name: string, during: number): Promise<boolean> => {
        const object = await store.get(kind, name, signal);
        return object === undefined
            || eraOf(object.revision) === during && await store.remove(kind, name, object.revision, signal);
    };

    return {
        applyCoordination: ({ name }, removed) => {
            const { era } = readPoolObjectName(name);
            if (removed) {
                eras.delete(era);
            }
            else {
                eras.add(era);
            }
        },
        removeBefore: async during => {
            present = present?.era === during ? present : { era: during, since: clock.now() };
            const era = [...eras].find(known => isLater(known, firstEra) && isLater(during, known));
            if (era === undefined || clock.now() - present.since < copyMilliseconds) {
                return;
            }
            const name = poolObjectName(pool, era);
            // The coordination object tells of the other one, so it goes last.
            const isGone = await remove(storeKinds.ownership, name, during)
                && await remove(storeKinds.coordination, name, during);
            if (isGone) {
                eras.delete(era);
                log.info("earlier-era-removed", { era, present: during });
            }
        },
    };
};
