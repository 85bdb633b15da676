/**
 * Names of a pool's objects in the store. Each era of the store's history has objects of its own, so that a write of an
 * earlier era that is carried out late, or whose revision matches by chance, changes nothing that a later era uses.
 */
import { isLater } from "../contracts/storehistory.ts";

/**
 * The first era of a store that tells its eras. Its objects are named as those of a store that tells none: hosts of versions
 * that know no eras coordinate by them.
 */
export const firstEra = 1;

export type PoolObject = { pool: string; era: number };

/** The names hold only characters that stay as they are in a path. */
const laterErasPattern = /^(.+)\.era([1-9]\d*)$/;

/** Returns the name of the pool's object in the era. */
export const poolObjectName = (pool: string, era: number): string =>
    isLater(era, firstEra) ? `${pool}.era${era}` : pool;

/** Returns the pool and the era of the object that has this name; the first era also for a store without eras. */
export const readPoolObjectName = (name: string): PoolObject => {
    const [, pool, era] = laterErasPattern.exec(name) ?? [];
    return pool === undefined ? { pool: name, era: firstEra } : { pool, era: Number(era) };
};
