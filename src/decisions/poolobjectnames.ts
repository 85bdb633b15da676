/**
 * Names of a pool's objects in the store. Each era of the store's history has objects of its own, so that a write of an
 * earlier era that is carried out late, or whose revision matches by chance, changes nothing that a later era uses.
 */

export type PoolObject = { pool: string; era: number };

/** The names hold only characters that stay as they are in a path. */
const laterErasPattern = /^(.+)\.era([1-9]\d*)$/;

/** Returns the name of the pool's object in the era. Without eras it is that of the pool. */
export const poolObjectName = (pool: string, era: number): string => era === 0 ? pool : `${pool}.era${era}`;

/** Returns the pool and the era of the object that has this name. */
export const readPoolObjectName = (name: string): PoolObject => {
    const [, pool, era] = laterErasPattern.exec(name) ?? [];
    return pool === undefined ? { pool: name, era: 0 } : { pool, era: Number(era) };
};
