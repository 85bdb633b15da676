/**
 * The cache of ownership keeps what is known until there is a later one, across eras of the store.
 */
import test from "ava";
import { placeOf } from "../../../src/contracts/storehistory.ts";
import { poolObjectName } from "../../../src/decisions/poolobjectnames.ts";
import { silentLog } from "../../../src/links/logs.ts";
import { createOwnershipCache } from "../../../src/machines/resident/ownershipcache.ts";
import { createVirtualClock } from "../fakes/clock.ts";

/** An object of the pool: the era whose coordinator wrote it, the era and revision at which it was read, and its term. */
type Read = { era: number; readIn: number; revision: number; term: number };

const cases: Array<{ title: string; reads: Read[]; term: number; isRemembered: boolean }> = [
    {
        title: "a later revision replaces an earlier one",
        reads: [{ era: 1, readIn: 1, revision: 5, term: 1 }, { era: 1, readIn: 1, revision: 6, term: 2 }],
        term: 2,
        isRemembered: true,
    },
    {
        title: "a late reading of an earlier revision does not",
        reads: [{ era: 1, readIn: 1, revision: 6, term: 2 }, { era: 1, readIn: 1, revision: 5, term: 1 }],
        term: 2,
        isRemembered: true,
    },
    {
        title: "a copy in a later era does not replace what is known",
        reads: [{ era: 1, readIn: 1, revision: 9, term: 2 }, { era: 1, readIn: 2, revision: 5, term: 1 }],
        term: 2,
        isRemembered: true,
    },
    {
        title: "a late write of the earlier era does not replace that of the later one",
        reads: [{ era: 2, readIn: 2, revision: 6, term: 9 }, { era: 1, readIn: 2, revision: 7, term: 8 }],
        term: 9,
        isRemembered: true,
    },
    {
        title: "the object of a later era replaces it, with a lower revision",
        reads: [{ era: 1, readIn: 1, revision: 9, term: 2 }, { era: 2, readIn: 2, revision: 6, term: 3 }],
        term: 3,
        isRemembered: true,
    },
    {
        title: "a copy is taken where nothing is known, and is not remembered",
        reads: [{ era: 1, readIn: 2, revision: 5, term: 1 }],
        term: 1,
        isRemembered: false,
    },
    {
        title: "of several copies the one of the latest era counts",
        reads: [{ era: 2, readIn: 3, revision: 5, term: 4 }, { era: 1, readIn: 3, revision: 9, term: 1 }],
        term: 4,
        isRemembered: false,
    },
    {
        title: "the object of a later era replaces a copy",
        reads: [{ era: 1, readIn: 2, revision: 9, term: 1 }, { era: 2, readIn: 2, revision: 5, term: 3 }],
        term: 3,
        isRemembered: true,
    },
    {
        title: "a store without eras is as ever",
        reads: [{ era: 0, readIn: 0, revision: 5, term: 1 }, { era: 0, readIn: 0, revision: 4, term: 0 }],
        term: 1,
        isRemembered: true,
    },
];

for (const { title, reads, term, isRemembered } of cases) {
    test(title, t => {
        const cache = createOwnershipCache(createVirtualClock(), silentLog, new AbortController().signal);
        for (const { era, readIn, revision, term: written } of reads) {
            cache.put({
                name: poolObjectName("stock", era),
                revision: placeOf(readIn, revision),
                value: { term: written, coordinator: "h1/x", nextFence: 1, ranges: [] },
            });
        }
        t.is(cache.get("stock")?.term, term);
        t.is(cache.getRemembered("stock")?.term, isRemembered ? term : undefined);
    });
}
