/**
 * When a host counts as one that knows all that joined with it: too early, and hosts that start together use more than
 * their targets accept.
 */
import test from "ava";
import { createSharingHosts, orderHosts } from "../../../src/machines/resident/sharinghosts.ts";

type Case = {
    title: string;
    wasRegistered: boolean | undefined;
    registeredAt: number | undefined;
    reachableSince: number | undefined;
    now: number;
    isSettled: boolean;
};

const cases: Case[] = [
    {
        title: "was there before",
        wasRegistered: true,
        registeredAt: undefined,
        reachableSince: 0,
        now: 1,
        isSettled: true,
    },
    {
        title: "has just registered",
        wasRegistered: false,
        registeredAt: 100,
        reachableSince: 0,
        now: 4_099,
        isSettled: false,
    },
    {
        title: "registered long ago",
        wasRegistered: false,
        registeredAt: 100,
        reachableSince: 0,
        now: 4_100,
        isSettled: true,
    },
    {
        title: "registered long ago and was cut off until now",
        wasRegistered: false,
        registeredAt: 100,
        reachableSince: 4_000,
        now: 4_100,
        isSettled: false,
    },
    {
        title: "registered long ago and is cut off since",
        wasRegistered: false,
        registeredAt: 100,
        reachableSince: undefined,
        now: 9_000,
        isSettled: false,
    },
    {
        title: "could not register",
        wasRegistered: undefined,
        registeredAt: undefined,
        reachableSince: 0,
        now: 9_000,
        isSettled: false,
    },
];

for (const { title, wasRegistered, registeredAt, reachableSince, now, isSettled } of cases) {
    test(`a host that ${title} is ${isSettled ? "" : "not "}settled`, t => {
        const hosts = createSharingHosts({
            self: "b",
            processes: {
                hostNames: () => ["a", "b"],
                hostCount: () => 2,
                wasRegistered: () => wasRegistered,
                registeredAt: () => registeredAt,
            },
            reachableSince: () => reachableSince,
            clock: { now: () => now },
        });
        t.is(hosts()?.isSettled, isSettled);
        t.is(hosts()?.count, 2);
    });
}

test("a host stays settled when it is cut off, counts those that join, and knows none before the first list", t => {
    let names: string[] = [];
    let reachableSince: number | undefined = 0;
    const hosts = createSharingHosts({
        self: "b",
        processes: {
            hostNames: () => names,
            hostCount: () => names.length === 0 ? undefined : names.length,
            wasRegistered: () => false,
            registeredAt: () => 0,
        },
        reachableSince: () => reachableSince,
        clock: { now: () => 5_000 },
    });
    t.is(hosts(), undefined);
    names = ["a", "b"];
    t.true(hosts()?.isSettled);
    reachableSince = undefined;
    t.true(hosts()?.isSettled);
    names = ["a", "b", "c"];
    t.is(hosts()?.count, 3);
});

test("the part of a host whose registration is removed goes to the others", t => {
    let names = ["a", "b", "c", "d"];
    const hosts = createSharingHosts({
        self: "b",
        processes: {
            hostNames: () => names,
            hostCount: () => names.length,
            wasRegistered: () => true,
            registeredAt: () => 0,
        },
        reachableSince: () => 0,
        clock: { now: () => 5_000 },
    });
    const places = (): [number | undefined, number | undefined] => [hosts()?.count, hosts()?.place];
    const placeIn = (known: string[]): [number, number] => [known.length, orderHosts(known).indexOf("b")];
    t.deepEqual(places(), placeIn(["a", "b", "c", "d"]));
    names = ["a", "b", "d"];
    t.deepEqual(places(), placeIn(["a", "b", "d"]));
    names = ["b", "e", "d"];
    t.deepEqual(places(), placeIn(["b", "e", "d"]));
    names = ["b"];
    t.deepEqual(places(), [1, 0]);
});

for (
    const { wasRegistered, names, afterMilliseconds, mayHaveLent } of [
        { wasRegistered: true, names: ["a", "b"], afterMilliseconds: 5_499, mayHaveLent: true },
        { wasRegistered: true, names: ["a", "b"], afterMilliseconds: 5_500, mayHaveLent: false },
        { wasRegistered: false, names: ["a", "b"], afterMilliseconds: 0, mayHaveLent: false },
        { wasRegistered: true, names: ["a"], afterMilliseconds: 0, mayHaveLent: false },
    ]
) {
    test(`a host ${wasRegistered ? "started again" : "that is new"}, among ${names.length}, after ${afterMilliseconds} ms, may have lent: ${mayHaveLent}`, t => {
        let now = 0;
        const hosts = createSharingHosts({
            self: "a",
            processes: {
                hostNames: () => names,
                hostCount: () => names.length,
                wasRegistered: () => wasRegistered,
                registeredAt: () => 0,
            },
            reachableSince: () => 0,
            clock: { now: () => now },
        });
        now = afterMilliseconds;
        t.is(hosts()?.mayHaveLent, mayHaveLent);
    });
}
