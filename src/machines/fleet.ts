/**
 * The fleet as this host takes part in it: it announces itself, keeps links to the others, follows the platform's
 * objects with them, and knows whether it may admit requests.
 */
import type { Clock } from "../contracts/clock.ts";
import { messageOf } from "../contracts/errors.ts";
import type { Departure } from "../contracts/objectmessages.ts";
import type { HostStatus } from "../contracts/objects.ts";
import type { Settings } from "../contracts/settings.ts";
import type { SlotHash } from "../decisions/hash.ts";
import { type AdmissionBlock, createIsolation } from "../decisions/isolation.ts";
import type { RevisionTracker } from "../decisions/revisiontracker.ts";
import type { HostLinks } from "../links/hosts.ts";
import type { Log } from "../links/logs.ts";
import type { Metrics } from "../links/metrics.ts";
import type { PlatformLink } from "../links/platform.ts";
import { createMembership, type Member } from "../zones/membership.ts";
import { allRelays, choosePeers, hostsServedBy, majorityHosts, rankHosts, relaysAskedBy } from "../zones/relays.ts";
import { createAnnouncement } from "./announcement.ts";
import { createFollower } from "./follower.ts";
import { startMajorityPoll } from "./majoritypoll.ts";
import type { ObjectView } from "./objects.ts";
import { createReplica } from "./replica.ts";
import { startReplication } from "./replication.ts";

export type FleetOptions = {
    settings: Settings;
    incarnation: string;
    platform: PlatformLink;
    objects: ObjectView;
    revisionTracker: RevisionTracker;
    links: HostLinks;
    slotHash: SlotHash;
    /** The host's status as it is now, without what the fleet knows itself. */
    ownStatus: () => HostStatus;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

export type FleetReport = {
    /** Why the host does not admit; undefined while it does. */
    bar: AdmissionBlock | undefined;
    position: number;
    relay: boolean;
    /** Milliseconds for which the platform's last answer is still fresh; 0 when it is not. */
    freshMilliseconds: number;
    members: Member[];
};

export type Fleet = {
    /** Announces the host and follows; resolves when the host may admit for the first time. */
    start: () => Promise<void>;
    /** Why the host does not admit; undefined while it does. */
    admissionBlock: () => AdmissionBlock | undefined;
    /** When the platform was first known to keep this host's announcement; undefined while it does not. */
    announcedAt: () => number | undefined;
    /** Members that may take over roles, this host included. */
    liveMembers: () => Member[];
    members: () => Member[];
    /** Whether the platform's word, own or passed on, is fresh. */
    isPlatformReachable: () => boolean;
    /** Tells the others that this host is leaving. */
    announceLeaving: () => Promise<void>;
    /** Takes the announcement back, after the last request was answered. */
    removeAnnouncement: () => Promise<void>;
    report: () => FleetReport;
};

const lostMilliseconds = 1_500;
const listLagMilliseconds = 30_000;
const listMilliseconds = 5_000;
const removalMilliseconds = 120_000;
const upkeepMilliseconds = 500;
const turnMilliseconds = 250;

/** Creates the host's part in the fleet. Nothing is asked or sent before `start`. */
export const createFleet = (options: FleetOptions): Fleet => {
    const { settings, platform, objects, links, slotHash, clock, log, metrics, signal } = options;
    const self = { name: settings.host.name, zone: settings.host.zone };
    const { freshnessMilliseconds } = settings.ownership;
    const { isolationMilliseconds } = settings;
    const isolation = createIsolation({ isolationMilliseconds, pauseMilliseconds: freshnessMilliseconds });
    const membership = createMembership({
        self: self.name,
        lostMilliseconds,
        listLagMilliseconds,
        removalMilliseconds,
    });
    const maxAnswerBytes = settings.peers.maxFrameBytes / 2;
    let ownVersion = 0;
    let withdrawn = false;

    const replica = createReplica({
        objects,
        revisionTracker: options.revisionTracker,
        isolation,
        freshnessMilliseconds,
        isolationMilliseconds,
        maxAnswerBytes,
        clock,
    });
    const announcement = createAnnouncement({ host: self.name, platform, objects, clock, log, signal });
    const live = (): Member[] => membership.liveMembers(clock.now());
    const members = (): Member[] => membership.members(clock.now());
    const isRelay = (): boolean => allRelays(slotHash, live()).some(relay => relay.name === self.name);
    const isFirst = (): boolean => rankHosts(slotHash, "platform", live())[0]?.name === self.name;

    const follower = createFollower({
        replica,
        platform,
        links,
        sources: () => ({
            isRelay: isRelay(),
            retriesFaster: isFirst(),
            relays: relaysAskedBy(slotHash, self, live()).map(relay => relay.name),
        }),
        onDepartures: departures => {
            if (!isRelay()) {
                membership.setDepartures(departures);
            }
        },
        freshnessMilliseconds,
        platformTimeoutMilliseconds: settings.platform.timeoutMilliseconds,
        clock,
        log,
        metrics,
        signal,
    });

    startReplication({
        replica,
        links,
        metrics,
        servedHosts: () => hostsServedBy(slotHash, self, live()).map(host => host.name),
        departures: membership.departures,
        onGap: follower.askNow,
        maxPushBytes: maxAnswerBytes,
    });

    /** Hosts that the assignments name beside this one. */
    const namedBesides = (): Set<string> => {
        const named = new Set<string>();
        for (const { value } of objects.list("assignments")) {
            const groups = [value.witnesses, ...Object.values(value.renewers), ...value.keepers.map(k => k.hosts)];
            if (groups.some(group => group.includes(self.name))) {
                groups.flat().forEach(host => named.add(host));
            }
        }
        return named;
    };

    const updatePeers = (): void => {
        const all = members();
        const chosen = new Set(
            choosePeers(slotHash, { self, members: all, live: live(), requiredPeers: namedBesides() }),
        );
        const peers = all.filter(member => chosen.has(member.name));
        membership.setWantedLinks(chosen, clock.now());
        links.setPeers(
            peers.map(({ name, peerAddress, incarnation }) => ({ name, address: peerAddress, incarnation })),
        );
    };

    const announce = async (): Promise<void> => {
        if (await announcement.write(options.ownStatus())) {
            isolation.noteAnnounced(clock.now());
        }
    };

    /** Looks at the host's own announcement: another process may have taken the name, or a host removed it. */
    const checkOwnStatus = (): void => {
        const newest = objects.newest("status", self.name);
        if (withdrawn || newest === undefined || newest.version <= ownVersion) {
            return;
        }
        ownVersion = newest.version;
        if (newest.deleted) {
            isolation.noteAnnouncementRemoved();
            void announce();
            return;
        }
        const held = objects.get("status", self.name)?.value;
        const isNewer = held !== undefined && held.incarnation !== options.incarnation;
        if (isNewer && isolation.isConfirmed()) {
            isolation.noteReplaced();
            log.error("host-replaced", { host: self.name, incarnation: held.incarnation });
        }
    };

    const readHostList = async (): Promise<void> => {
        try {
            const listed = new Map((await platform.hosts(signal)).map(host => [host.name, host.state]));
            const departures: Departure[] = members().flatMap(({ name }) => {
                const state = listed.get(name) ?? "absent";
                return state === "live" ? [] : [{ name, state }];
            });
            membership.setDepartures(departures);
        }
        catch (error) {
            log.debug("host-list-unread", { error: messageOf(error) });
        }
    };

    /** Removes the announcements of hosts that are long lost and that the platform does not list. */
    const removeGoneHosts = async (): Promise<void> => {
        const gone = membership.removableHosts(clock.now());
        for (const name of isFirst() ? gone : []) {
            log.info("gone-host-removed", { removed: name });
            await announcement.remove(name);
        }
    };

    const keepList = async (): Promise<void> => {
        while (!signal.aborted) {
            await clock.sleep(listMilliseconds * (0.8 + Math.random() * 0.4), signal);
            if (!signal.aborted && isRelay() && replica.freshMilliseconds() > 0) {
                await readHostList();
                await removeGoneHosts();
            }
        }
    };

    const keepPeers = async (): Promise<void> => {
        while (!signal.aborted) {
            updatePeers();
            await clock.sleep(upkeepMilliseconds, signal);
        }
    };

    const keepTurns = async (): Promise<void> => {
        while (!signal.aborted) {
            isolation.tick(clock.now());
            await clock.sleep(turnMilliseconds, signal);
        }
    };

    replica.onUpdate(({ changes }) => {
        for (const { item: { kind, name, version, deleted } } of changes) {
            log.debug("object-accepted", { kind, name, version, deleted });
        }
        if (changes.some(({ item }) => item.kind === "status")) {
            membership.setAnnouncedHosts(objects.list("status"), clock.now());
            checkOwnStatus();
            updatePeers();
        }
    });
    links.onChange(host => membership.recordLink(host, links.incarnationOf(host), clock.now()));

    return {
        start: async () => {
            void keepTurns();
            await announce();
            follower.start();
            await follower.ready;
            void keepPeers();
            void keepList();
            startMajorityPoll({
                self: self.name,
                replica,
                isolation,
                links,
                hosts: () => majorityHosts(slotHash, members()).map(host => host.name),
                isolationMilliseconds,
                clock,
                signal,
            });
        },
        admissionBlock: () => isolation.admissionBlock(clock.now()),
        announcedAt: isolation.announcedAt,
        liveMembers: live,
        members,
        isPlatformReachable: () => replica.freshMilliseconds() > 0,
        announceLeaving: async () => {
            await announcement.tryToWrite(options.ownStatus());
        },
        removeAnnouncement: async () => {
            withdrawn = true;
            isolation.noteAnnouncementRemoved();
            await announcement.remove(self.name);
        },
        report: () => ({
            bar: isolation.admissionBlock(clock.now()),
            position: replica.position(),
            relay: isRelay(),
            freshMilliseconds: Math.round(replica.freshMilliseconds()),
            members: members(),
        }),
    };
};
