/**
 * Membership: which hosts there are and how they stand, as one host sees it. It is put together from the hosts' own
 * status objects and the platform's list, which lags, and corrected by the host's own links: an open link outweighs
 * the list, and a former process of a name counts no more once a new one has announced itself.
 */
import type { Departure } from "../contracts/objectmessages.ts";
import type { HostStatus } from "../contracts/objects.ts";

/** How a member stands. A lost one may still run, but can not be relied upon. */
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
    /** Takes the status objects in force. */
    setAnnouncedHosts: (hosts: AnnouncedHost[], now: number) => void;
    /** Takes the platform's list, as members that it does not show as live. */
    setDepartures: (departures: Departure[]) => void;
    /** Notes that the own link to a host opened, to which of its incarnations, or that it closed. */
    recordLink: (host: string, incarnation: string | undefined, now: number) => void;
    /** Says to which hosts links are wanted; only a wanted link that stays closed makes a host lost. */
    setWantedLinks: (hosts: ReadonlySet<string>, now: number) => void;
    members: (now: number) => Member[];
    /** Members that are live, this host included. */
    liveMembers: (now: number) => Member[];
    /** Members that have not been live, and absent from the platform's list, at each look for the removal time. */
    removableHosts: (now: number) => string[];
    /** The departures in hand, to be passed on to hosts that do not read the platform's list. */
    departures: () => Departure[];
};

export type MembershipOptions = {
    self: string;
    /** A wanted link that stays closed for longer makes its host lost. */
    lostMilliseconds: number;
    /** The platform's list may lag by this much: it says nothing yet about a newer incarnation. */
    listLagMilliseconds: number;
    /** A member that stays lost and absent for this long is gone for good. */
    removalMilliseconds: number;
};

type MemberRecord = {
    status: HostStatus;
    /** When the incarnation was first seen. */
    since: number;
    /** When a wanted link was first found closed; undefined while it is open or not wanted. */
    unlinkedSince: number | undefined;
    /** When it was first found neither live nor listed; undefined while it is either. */
    absentSince: number | undefined;
};

/** Creates the membership of one host. Times are monotonic milliseconds. */
export const createMembership = (options: MembershipOptions): Membership => {
    const { self } = options;
    const records = new Map<string, MemberRecord>();
    const openLinks = new Map<string, string>();
    let departed = new Map<string, Departure["state"]>();
    let wanted: ReadonlySet<string> = new Set();

    const isLinked = (name: string, record: MemberRecord): boolean => openLinks.get(name) === record.status.incarnation;

    const noteSilence = (name: string, record: MemberRecord, now: number): void => {
        if (isLinked(name, record) || !wanted.has(name)) {
            record.unlinkedSince = undefined;
            return;
        }
        record.unlinkedSince ??= now;
    };

    const announceOne = ({ name, value }: AnnouncedHost, now: number): void => {
        const known = records.get(name);
        if (known !== undefined && known.status.incarnation === value.incarnation) {
            known.status = value;
            return;
        }
        const record = { status: value, since: now, unlinkedSince: undefined, absentSince: undefined };
        records.set(name, record);
        noteSilence(name, record, now);
    };

    /** What the list says, once it can have caught up with the incarnation. */
    const listedAs = (name: string, record: MemberRecord, now: number): Departure["state"] | undefined =>
        now - record.since >= options.listLagMilliseconds ? departed.get(name) : undefined;

    const stateOf = (name: string, record: MemberRecord, now: number): MemberState => {
        const listed = listedAs(name, record, now);
        if (record.status.state === "leaving" || listed === "leaving") {
            return memberStates.leaving;
        }
        if (name === self || isLinked(name, record)) {
            return memberStates.live;
        }
        const silent = record.unlinkedSince !== undefined
            && now - record.unlinkedSince >= options.lostMilliseconds;
        return silent || listed === "absent" ? memberStates.lost : memberStates.live;
    };

    const members = (now: number): Member[] =>
        [...records].map(([name, record]) => {
            const { zone, incarnation, peerAddress, operatorAddress, size } = record.status;
            return { name, zone, incarnation, peerAddress, operatorAddress, size, state: stateOf(name, record, now) };
        });

    return {
        setAnnouncedHosts: (hosts, now) => {
            hosts.forEach(host => announceOne(host, now));
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
                noteSilence(host, record, now);
            }
        },
        setWantedLinks: (hosts, now) => {
            wanted = hosts;
            records.forEach((record, name) => noteSilence(name, record, now));
        },
        members,
        liveMembers: now => members(now).filter(member => member.state === memberStates.live),
        removableHosts: now => {
            const names: string[] = [];
            for (const [name, record] of records) {
                const missing = stateOf(name, record, now) !== memberStates.live && departed.get(name) === "absent";
                record.absentSince = missing ? record.absentSince ?? now : undefined;
                if (record.absentSince !== undefined && now - record.absentSince >= options.removalMilliseconds) {
                    names.push(name);
                }
            }
            return names;
        },
        departures: () => [...departed].map(([name, state]) => ({ name, state })),
    };
};
