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
const otherHost = (incarnation: string, state?: HostStatus["state"]) => ({
    name: "other",
    value: status(incarnation, state),
});
const wanted = new Set(["other"]);

type Case = { title: string; steps: (m: Membership) => void; now: number; state: string | undefined };

const cases: Case[] = [
    {
        title: "an announced host is live",
        steps: m => m.setAnnouncedHosts([self, otherHost("1")], 0),
        now: 10,
        state: "live",
    },
    {
        title: "a host that announces that it leaves is leaving",
        steps: m => m.setAnnouncedHosts([self, otherHost("1", "leaving")], 0),
        now: 10,
        state: "leaving",
    },
    {
        title: "a host whose announcement was removed is not a member",
        steps: m => {
            m.setAnnouncedHosts([self, otherHost("1")], 0);
            m.setAnnouncedHosts([self], 5);
        },
        now: 10,
        state: undefined,
    },
    {
        title: "a host is lost when the wanted link to it stays closed for the configured time",
        steps: m => {
            m.setAnnouncedHosts([self, otherHost("1")], 0);
            m.setWantedLinks(wanted, 0);
        },
        now: 1_500,
        state: "lost",
    },
    {
        title: "a host is live until the wanted link to it has been closed for the configured time",
        steps: m => {
            m.setAnnouncedHosts([self, otherHost("1")], 0);
            m.setWantedLinks(wanted, 0);
        },
        now: 1_499,
        state: "live",
    },
    {
        title: "a closed link that is not wanted does not make a host lost",
        steps: m => {
            m.setAnnouncedHosts([self, otherHost("1")], 0);
            m.setWantedLinks(new Set(), 0);
        },
        now: 9_999,
        state: "live",
    },
    {
        title: "a host is live again when the link to it opens",
        steps: m => {
            m.setAnnouncedHosts([self, otherHost("1")], 0);
            m.setWantedLinks(wanted, 0);
            m.recordLink("other", "1", 5_000);
        },
        now: 9_000,
        state: "live",
    },
    {
        title: "a host with an open link is live although the platform's list lacks it",
        steps: m => {
            m.setAnnouncedHosts([self, otherHost("1")], 0);
            m.recordLink("other", "1", 0);
            m.setDepartures([{ name: "other", state: "absent" }]);
        },
        now: 60_000,
        state: "live",
    },
    {
        title: "a host without a link is lost when the platform's list lacks it",
        steps: m => {
            m.setAnnouncedHosts([self, otherHost("1")], 0);
            m.setDepartures([{ name: "other", state: "absent" }]);
        },
        now: 60_000,
        state: "lost",
    },
    {
        title: "a host that the platform's list shows as leaving is leaving, also with an open link",
        steps: m => {
            m.setAnnouncedHosts([self, otherHost("1")], 0);
            m.recordLink("other", "1", 0);
            m.setDepartures([{ name: "other", state: "leaving" }]);
        },
        now: 60_000,
        state: "leaving",
    },
    {
        title: "the list is ignored for a new incarnation with the same address until its lag has passed",
        steps: m => {
            m.setAnnouncedHosts([self, otherHost("1")], 0);
            m.setDepartures([{ name: "other", state: "leaving" }]);
            m.setAnnouncedHosts([self, otherHost("2")], 50_000);
        },
        now: 60_000,
        state: "live",
    },
    {
        title: "a link to the former incarnation does not count for the new one",
        steps: m => {
            m.setAnnouncedHosts([self, otherHost("1")], 0);
            m.setWantedLinks(wanted, 0);
            m.recordLink("other", "1", 0);
            m.setAnnouncedHosts([self, otherHost("2")], 1_000);
        },
        now: 2_500,
        state: "lost",
    },
    {
        title: "a link that opened before the announcement counts",
        steps: m => {
            m.recordLink("other", "2", 0);
            m.setAnnouncedHosts([self, otherHost("2")], 10);
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
    { title: "not live and absent from the list for the whole time", listed: absent, gone: ["other"] },
    { title: "lost but still on the list", listed: [], gone: [] },
    { title: "linked again in between", listed: absent, linkedAt: 50_000, gone: [] },
    { title: "announced again in between", listed: absent, announcedAt: 50_000, gone: [] },
];

for (const { title, listed, linkedAt, announcedAt, gone } of removals) {
    test(`hosts that can be removed: ${title}`, t => {
        const membership = createMembership(options);
        membership.setAnnouncedHosts([self, otherHost("1")], 0);
        membership.setWantedLinks(wanted, 0);
        for (let now = 5_000; now <= 130_000; now += 5_000) {
            membership.setDepartures(listed);
            if (now === linkedAt) {
                membership.recordLink("other", "1", now);
                membership.recordAbsences(now);
                t.deepEqual(membership.removableHosts(now), []);
                membership.recordLink("other", undefined, now);
            }
            if (now === announcedAt) {
                membership.setAnnouncedHosts([self, otherHost("2")], now);
            }
            membership.recordAbsences(now);
            if (now < 125_000) {
                t.deepEqual(membership.removableHosts(now), []);
            }
        }
        t.deepEqual(membership.removableHosts(130_000), gone);
    });
}

test("asking which hosts can be removed does not begin the time of their absence", t => {
    const membership = createMembership(options);
    membership.setAnnouncedHosts([self, otherHost("1")], 0);
    membership.setWantedLinks(wanted, 0);
    membership.setDepartures(absent);
    t.deepEqual(membership.removableHosts(60_000), []);
    membership.recordAbsences(120_000);
    t.deepEqual(membership.removableHosts(200_000), []);
    t.deepEqual(membership.removableHosts(240_000), ["other"]);
});
