import test from "ava";
import type { HostStatus } from "../../src/contracts/objects.ts";
import { createMembership, type Membership } from "../../src/zones/membership.ts";

const status = (incarnation: string, state: HostStatus["state"] = "live"): HostStatus => ({
    zone: "zone-1",
    incarnation,
    peerAddress: "10.0.0.1:8081",
    operatorAddress: "10.0.0.1:8082",
    size: 1,
    state,
    isolationMilliseconds: 10_000,
});

const options = {
    self: "self",
    lostMilliseconds: 1_500,
    listLagMilliseconds: 30_000,
    removalMilliseconds: 120_000,
};

const self = { name: "self", value: status("self-1") };
const other = (incarnation: string, state?: HostStatus["state"]) => ({
    name: "other",
    value: status(incarnation, state),
});
const wanted = new Set(["other"]);

type Case = { title: string; steps: (m: Membership) => void; now: number; state: string | undefined };

const cases: Case[] = [
    {
        title: "an announced host is live",
        steps: m => m.setAnnouncedHosts([self, other("1")], 0),
        now: 10,
        state: "live",
    },
    {
        title: "it says itself that it leaves",
        steps: m => m.setAnnouncedHosts([self, other("1", "leaving")], 0),
        now: 10,
        state: "leaving",
    },
    {
        title: "one whose announcement is gone is no member",
        steps: m => {
            m.setAnnouncedHosts([self, other("1")], 0);
            m.setAnnouncedHosts([self], 5);
        },
        now: 10,
        state: undefined,
    },
    {
        title: "a link that does not come up makes it lost",
        steps: m => {
            m.setAnnouncedHosts([self, other("1")], 0);
            m.setWantedLinks(wanted, 0);
        },
        now: 1_500,
        state: "lost",
    },
    {
        title: "not before its time",
        steps: m => {
            m.setAnnouncedHosts([self, other("1")], 0);
            m.setWantedLinks(wanted, 0);
        },
        now: 1_499,
        state: "live",
    },
    {
        title: "a link that is not wanted says nothing",
        steps: m => {
            m.setAnnouncedHosts([self, other("1")], 0);
            m.setWantedLinks(new Set(), 0);
        },
        now: 9_999,
        state: "live",
    },
    {
        title: "a link that comes back makes it live",
        steps: m => {
            m.setAnnouncedHosts([self, other("1")], 0);
            m.setWantedLinks(wanted, 0);
            m.recordLink("other", "1", 5_000);
        },
        now: 9_000,
        state: "live",
    },
    {
        title: "an open link outweighs its absence from the list",
        steps: m => {
            m.setAnnouncedHosts([self, other("1")], 0);
            m.recordLink("other", "1", 0);
            m.setDepartures([{ name: "other", state: "absent" }]);
        },
        now: 60_000,
        state: "live",
    },
    {
        title: "without a link the list is believed",
        steps: m => {
            m.setAnnouncedHosts([self, other("1")], 0);
            m.setDepartures([{ name: "other", state: "absent" }]);
        },
        now: 60_000,
        state: "lost",
    },
    {
        title: "the list says that it is about to leave",
        steps: m => {
            m.setAnnouncedHosts([self, other("1")], 0);
            m.recordLink("other", "1", 0);
            m.setDepartures([{ name: "other", state: "leaving" }]);
        },
        now: 60_000,
        state: "leaving",
    },
    {
        title: "the lagging list does not speak of a new incarnation with the same address",
        steps: m => {
            m.setAnnouncedHosts([self, other("1")], 0);
            m.setDepartures([{ name: "other", state: "leaving" }]);
            m.setAnnouncedHosts([self, other("2")], 50_000);
        },
        now: 60_000,
        state: "live",
    },
    {
        title: "a link to the former incarnation is none to the new one",
        steps: m => {
            m.setAnnouncedHosts([self, other("1")], 0);
            m.setWantedLinks(wanted, 0);
            m.recordLink("other", "1", 0);
            m.setAnnouncedHosts([self, other("2")], 1_000);
        },
        now: 2_500,
        state: "lost",
    },
    {
        title: "a link that came up before the announcement counts",
        steps: m => {
            m.recordLink("other", "2", 0);
            m.setAnnouncedHosts([self, other("2")], 10);
            m.setWantedLinks(wanted, 10);
        },
        now: 9_000,
        state: "live",
    },
];

for (const { title, steps, now, state } of cases) {
    test(title, t => {
        const membership = createMembership(options);
        steps(membership);
        t.is(membership.members(now).find(member => member.name === "other")?.state, state as never);
        t.is(membership.liveMembers(now).some(member => member.name === "other"), state === "live");
        t.true(membership.liveMembers(now).some(member => member.name === "self"));
    });
}

const absent = [{ name: "other", state: "absent" as const }];

const removals: Array<
    { title: string; listed: typeof absent; linkedAt?: number; announcedAt?: number; gone: string[] }
> = [
    { title: "lost and absent for the whole time", listed: absent, gone: ["other"] },
    { title: "lost but still listed", listed: [], gone: [] },
    { title: "linked again on the way", listed: absent, linkedAt: 50_000, gone: [] },
    { title: "announced anew on the way", listed: absent, announcedAt: 50_000, gone: [] },
];

for (const { title, listed, linkedAt, announcedAt, gone } of removals) {
    test(`a host that is gone: ${title}`, t => {
        const membership = createMembership(options);
        membership.setAnnouncedHosts([self, other("1")], 0);
        membership.setWantedLinks(wanted, 0);
        for (let now = 5_000; now <= 130_000; now += 5_000) {
            membership.setDepartures(listed);
            if (now === linkedAt) {
                membership.recordLink("other", "1", now);
                t.deepEqual(membership.removableHosts(now), []);
                membership.recordLink("other", undefined, now);
            }
            if (now === announcedAt) {
                membership.setAnnouncedHosts([self, other("2")], now);
            }
            if (now < 125_000) {
                t.deepEqual(membership.removableHosts(now), []);
            }
        }
        t.deepEqual(membership.removableHosts(130_000), gone);
    });
}
