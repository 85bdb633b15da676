import test from "ava";
import type { Clock } from "../../src/contracts/clock.ts";
import { poolSchema } from "../../src/contracts/pool.ts";
import { firstAssignment } from "../../src/decisions/assign.ts";
import { createRevisionTracker } from "../../src/decisions/revisiontracker.ts";
import type { CallerRequest } from "../../src/links/callers.ts";
import type { Admission } from "../../src/machines/admission.ts";
import { createDestinationResolver, isRefusal } from "../../src/machines/destinations.ts";
import { createObjectView } from "../../src/machines/objects.ts";
import type { RoutingState } from "../../src/machines/routingstate.ts";
import type { TargetViews } from "../../src/machines/target.ts";

const freshnessMilliseconds = 1_000;

const cases: Array<{
    title: string;
    checksGrants: boolean;
    announcedAt: number | undefined;
    readAt: number;
    now: number;
    routes: boolean;
}> = [
    {
        title: "targets check grants, the revision is fresh",
        checksGrants: true,
        announcedAt: undefined,
        readAt: 100,
        now: 200,
        routes: true,
    },
    {
        title: "targets check grants, the revision has lapsed",
        checksGrants: true,
        announcedAt: 50,
        readAt: 100,
        now: 1_100,
        routes: false,
    },
    {
        title: "targets do not check grants, the host is not announced",
        checksGrants: false,
        announcedAt: undefined,
        readAt: 100,
        now: 200,
        routes: false,
    },
    {
        title: "targets do not check grants, the revision was read before the announcement",
        checksGrants: false,
        announcedAt: 150,
        readAt: 100,
        now: 200,
        routes: false,
    },
    {
        title: "targets do not check grants, the revision was read at the time of the announcement",
        checksGrants: false,
        announcedAt: 100,
        readAt: 100,
        now: 200,
        routes: false,
    },
    {
        title: "targets do not check grants, the revision was read after the announcement",
        checksGrants: false,
        announcedAt: 50,
        readAt: 100,
        now: 200,
        routes: true,
    },
    {
        title: "targets do not check grants, the revision has lapsed",
        checksGrants: false,
        announcedAt: 50,
        readAt: 100,
        now: 1_100,
        routes: false,
    },
];

for (const { title, checksGrants, announcedAt, readAt, now, routes } of cases) {
    test(`a host ${routes ? "routes" : "does not route"}: ${title}`, t => {
        const pool = poolSchema.parse({
            customer: "hallam",
            division: "by-key",
            checksGrants,
            slotCount: 4,
            targets: [{ name: "a", address: "127.0.0.1:1", zone: "z", concurrency: 1, connections: 1 }],
            routes: [{ name: "check", method: "*", path: "/", kind: "idempotent" }],
        });
        const objects = createObjectView();
        const value = firstAssignment(pool, [{ name: "host-a", zone: "z" }]);
        objects.accept({ kind: "assignments", name: "orders", version: 1, writeId: "w", deleted: false, value });
        const revisionTracker = createRevisionTracker();
        revisionTracker.confirm("orders", 1, readAt, freshnessMilliseconds);
        const destinations = createDestinationResolver({
            objects,
            revisionTracker,
            announcedAt: () => announcedAt,
            views: { of: (...[, target]) => ({ target }) } as TargetViews,
            slotHash: () => 0,
            admission: {} as Admission,
            countLoad: () => undefined,
            roundTripMillisecondsTo: () => 0,
            random: () => 0,
            clock: { now: () => now } as Clock,
        });
        const request = { pool: "orders", key: "tray-7" } as CallerRequest;
        const destination = destinations.resolve({ request, authorized: { pool } } as RoutingState);
        t.is(isRefusal(destination) ? destination.reason : "routed", routes ? "routed" : "not-current");
    });
}
