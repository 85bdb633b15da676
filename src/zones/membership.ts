/**
 * Membership as one host sees it: which hosts exist, and whether each is live, leaving or lost. It combines the hosts'
 * own status objects with the platform's list of hosts, which lags, and with the state of this host's links: an open
 * link outweighs the absence of a host from the list. Once a new process has announced itself under a name, the former
 * process of that name no longer counts.
 */
import type { Departure } from "../contracts/objectmessages.ts";
import type { HostStatus } from "../contracts/objects.ts";

/** State of a member. A lost host may still be running, but other hosts cannot rely on it. */
export const memberStates = { live: "live", leaving: "leaving", lost: "lost" } as const;
export type MemberState = (typeof memberStates)[keyof typeof memberStates];

export type Member = {
    name: string;
    zone: string;
    incarnation: string;
    peerAddress: string;
    operatorAddress: string;
    size: number;
    state: MemberState;
};

export type AnnouncedHost = { name: string; value: HostStatus };

export type Membership = {
    /** Replaces the members by the hosts whose status objects are in force. */
    setAnnouncedHosts: (hosts: AnnouncedHost[], now: number) => void;
    /** Replaces the departures: the members that the platform's list does not show as live. */
    setDepartures: (departures: Departure[]) => void;
    /** Records the incarnation to which this host's link is now open, or `undefined` when the link has closed. */
    recordLink: (host: string, incarnation: string | undefined, now: number) => void;
    /** Sets the hosts to which links are wanted. A closed link makes a host lost only while it is wanted. */
    setWantedLinks: (hosts: ReadonlySet<string>, now: number) => void;
    /** All members with their states, this host included. */
    members: (now: number) => Member[];
    /** Members that are live, this host included. */
    liveMembers: (now: number) => Member[];
    /** Records which members are not live and absent from the platform's list. Called at each reading of the list. */
    recordAbsences: (now: number) => void;
    /** Names of the members that every `recordAbsences` over the removal time has found absent. Changes nothing. */
    removableHosts: (now: number) => string[];
    /** The current departures, to be passed on to hosts that do not read the platform's list. */
    departures: () => Departure[];
};

export type MembershipOptions = {
    /** Name of this host. */
    self: string;
    /** A host is lost once a wanted link to it has been closed for this long. */
    lostMilliseconds: number;
    /** How far the platform's list may lag. The list is ignored for an incarnation that is known for less than this. */
    listLagMilliseconds: number;
    /** A member that is neither live nor on the platform's list for this long can be removed. */
    removalMilliseconds: number;
};

type MemberRecord = {
    status: HostStatus;
    /** When the status of this incarnation was first seen. */
    since: number;
    /** When a wanted link was first found closed; undefined while it is open or not wanted. */
    unlinkedSince: number | undefined;
    /** When it was first found not live and absent from the list; undefined while it is live or listed. */
    absentSince: number | undefined;
};

/** Creates the membership of one host. All times are monotonic milliseconds. */
export const createMembership = (options: MembershipOptions): Membership => {
    const { self } = options;
    const records = new Map<string, MemberRecord>();
    const openLinks = new Map<string, string>();
    let departed = new Map<string, Departure["state"]>();
    let wantedLinks: ReadonlySet<string> = new Set();

    const isLinked = (name: string, record: MemberRecord): boolean => openLinks.get(name) === record.status.incarnation;

    const updateUnlinkedSince = (name: string, record: MemberRecord, now: number): void => {
        if (isLinked(name, record) || !wantedLinks.has(name)) {
            record.unlinkedSince = undefined;
            return;
        }
        record.unlinkedSince ??= now;
    };

    const recordAnnouncement = ({ name, value }: AnnouncedHost, now: number): void => {
        const known = records.get(name);
        if (known !== undefined && known.status.incarnation === value.incarnation) {
            known.status = value;
            return;
        }
        const record = { status: value, since: now, unlinkedSince: undefined, absentSince: undefined };
        records.set(name, record);
        updateUnlinkedSince(name, record, now);
    };

    /** The state that the list gives, or `undefined` while the list may not yet show this incarnation. */
    const listedState = (name: string, record: MemberRecord, now: number): Departure["state"] | undefined =>
        now - record.since >= options.listLagMilliseconds ? departed.get(name) : undefined;

    const stateOf = (name: string, record: MemberRecord, now: number): MemberState => {
        const listed = listedState(name, record, now);
        if (record.status.state === "leaving" || listed === "leaving") {
            return memberStates.leaving;
        }
        if (name === self || isLinked(name, record)) {
            return memberStates.live;
        }
        const isLinkOverdue = record.unlinkedSince !== undefined
            && now - record.unlinkedSince >= options.lostMilliseconds;
        return isLinkOverdue || listed === "absent" ? memberStates.lost : memberStates.live;
    };

    const members = (now: number): Member[] =>
        [...records].map(([name, record]) => {
            const { zone, incarnation, peerAddress, operatorAddress, size } = record.status;
            return { name, zone, incarnation, peerAddress, operatorAddress, size, state: stateOf(name, record, now) };
        });

    return {
        setAnnouncedHosts: (hosts, now) => {
            hosts.forEach(host => recordAnnouncement(host, now));
            const names = new Set(hosts.map(host => host.name));
            [...records.keys()].filter(name => !names.has(name)).forEach(name => records.delete(name));
        },
        setDepartures: departures => {
            departed = new Map(departures.map(({ name, state }) => [name, state]));
        },
        recordLink: (host, incarnation, now) => {
            if (incarnation === undefined) {
                openLinks.delete(host);
            }
            else {
                openLinks.set(host, incarnation);
            }
            const record = records.get(host);
            if (record !== undefined) {
                updateUnlinkedSince(host, record, now);
            }
        },
        setWantedLinks: (hosts, now) => {
            wantedLinks = hosts;
            records.forEach((record, name) => updateUnlinkedSince(name, record, now));
        },
        members,
        liveMembers: now => members(now).filter(member => member.state === memberStates.live),
        recordAbsences: now => {
            for (const [name, record] of records) {
                const isAbsent = stateOf(name, record, now) !== memberStates.live && departed.get(name) === "absent";
                record.absentSince = isAbsent ? record.absentSince ?? now : undefined;
            }
        },
        removableHosts: now =>
            [...records]
                .filter(([, { absentSince = now }]) => now - absentSince >= options.removalMilliseconds)
                .map(([name]) => name),
        departures: () => [...departed].map(([name, state]) => ({ name, state })),
    };
};
