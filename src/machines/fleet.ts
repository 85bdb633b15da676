/**
 * This host's part in the fleet of hosts. It announces the host, keeps links to other hosts, follows the platform's
 * objects together with them, and decides whether the host may admit requests.
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
import { keepRunning, runAlone, runStep } from "./longtasks.ts";
import { startMajorityPoll } from "./majoritypoll.ts";
import type { ObjectView } from "./objects.ts";
import { createReplica, type ReplicaUpdate } from "./replica.ts";
import { startReplication } from "./replication.ts";

export type FleetOptions = {
    settings: Settings;
    incarnation: string;
    platform: PlatformLink;
    objects: ObjectView;
    revisionTracker: RevisionTracker;
    links: HostLinks;
    slotHash: SlotHash;
    /** Returns the status object to announce for this host. */
    ownStatus: () => HostStatus;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

export type FleetReport = {
    /** Why the host does not admit requests; undefined while it does. */
    bar: AdmissionBlock | undefined;
    /** Position up to which the host holds all objects of the platform. */
    position: number;
    /** Whether the host is a relay. */
    relay: boolean;
    /** Milliseconds for which the platform's last answer is still fresh; 0 when it is not. */
    freshMilliseconds: number;
    members: Member[];
};

export type Fleet = {
    /**
     * Announces the host and follows the platform's objects. Resolves when the host may admit requests for the first
     * time.
     */
    start: () => Promise<void>;
    /** Why the host does not admit requests; undefined while it does. */
    admissionBlock: () => AdmissionBlock | undefined;
    /** When the platform was first known to hold this host's announcement; undefined while it does not hold it. */
    announcedAt: () => number | undefined;
    /** Live members, this host included. Only these may take roles. */
    liveMembers: () => Member[];
    members: () => Member[];
    /** Whether the last answer of the platform, to this host or passed on by another, is still fresh. */
    isPlatformReachable: () => boolean;
    /** Writes this host's status once, so that the others learn that it is leaving. */
    announceLeaving: () => Promise<void>;
    /** Removes this host's announcement. Call it after the last request was answered. */
    removeAnnouncement: () => Promise<void>;
    report: () => FleetReport;
};

const lostMilliseconds = 1_500;
const listLagMilliseconds = 30_000;
const hostListIntervalMilliseconds = 5_000;
const removalMilliseconds = 120_000;
const peersIntervalMilliseconds = 500;
/** Interval of the ticks by which a pause of this process is detected. */
const tickIntervalMilliseconds = 250;

/** Creates this host's part in the fleet. It asks and sends nothing before `start`. */
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
    /** Newest version of this host's own announcement that has been checked. */
    let checkedVersion = 0;
    let isWithdrawn = false;

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
    const ranksFirst = (): boolean => rankHosts(slotHash, "platform", live())[0]?.name === self.name;

    const follower = createFollower({
        replica,
        platform,
        links,
        sources: () => ({
            isRelay: isRelay(),
            retriesFaster: ranksFirst(),
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

    /** Hosts that are named in an assignment that also names this host. */
    const coNamedHosts = (): Set<string> => {
        const named = new Set<string>();
        for (const { value } of objects.list("assignments")) {
            const groups = [value.witnesses, ...Object.values(value.renewers), ...value.keepers.map(k => k.hosts)];
            if (groups.some(group => group.includes(self.name))) {
                groups.flat().forEach(host => named.add(host));
            }
        }
        return named;
    };

    /** Chooses the hosts to keep links to. */
    const updatePeers = (): void => {
        const all = members();
        const chosen = new Set(
            choosePeers(slotHash, { self, members: all, live: live(), requiredPeers: coNamedHosts() }),
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

    /** Checks this host's own announcement: another process may have taken the name, or another host has removed it. */
    const checkOwnStatus = (): void => {
        const newest = objects.newest("status", self.name);
        if (isWithdrawn || newest === undefined || newest.version <= checkedVersion) {
            return;
        }
        checkedVersion = newest.version;
        if (newest.deleted) {
            isolation.noteAnnouncementRemoved();
            void runAlone("announcement", announce, options);
            return;
        }
        const held = objects.get("status", self.name)?.value;
        const isReplaced = held !== undefined && held.incarnation !== options.incarnation;
        if (isReplaced && isolation.isConfirmed()) {
            isolation.noteReplaced();
            log.error("host-replaced", { host: self.name, incarnation: held.incarnation });
        }
    };

    /** Reads the platform's list of hosts and records the members that it does not list as live. */
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
            log.debug("host-list-read-failed", { error: messageOf(error) });
        }
    };

    /** Removes the announcements of hosts that have long been lost and that the platform does not list. */
    const removeGoneHosts = async (): Promise<void> => {
        membership.recordAbsences(clock.now());
        const gone = membership.removableHosts(clock.now());
        for (const name of ranksFirst() ? gone : []) {
            if (await announcement.remove(name)) {
                log.info("gone-host-removed", { removed: name });
            }
        }
    };

    const runHostList = async (): Promise<void> => {
        while (!signal.aborted) {
            await clock.sleep(hostListIntervalMilliseconds * (0.8 + Math.random() * 0.4), signal);
            if (!signal.aborted && isRelay() && replica.freshMilliseconds() > 0) {
                await readHostList();
                await removeGoneHosts();
            }
        }
    };

    const runPeers = async (): Promise<void> => {
        while (!signal.aborted) {
            updatePeers();
            await clock.sleep(peersIntervalMilliseconds, signal);
        }
    };

    const runTicks = async (): Promise<void> => {
        while (!signal.aborted) {
            isolation.tick(clock.now());
            await clock.sleep(tickIntervalMilliseconds, signal);
        }
    };

    const applyChanges = ({ changes }: ReplicaUpdate): void => {
        for (const { item: { kind, name, version, deleted } } of changes) {
            log.debug("object-accepted", { kind, name, version, deleted });
        }
        if (changes.some(({ item }) => item.kind === "status")) {
            membership.setAnnouncedHosts(objects.list("status"), clock.now());
            checkOwnStatus();
            updatePeers();
        }
    };
    replica.onUpdate(update => void runStep("object-updates", () => applyChanges(update), options));
    links.onChange(host => membership.recordLink(host, links.incarnationOf(host), clock.now()));

    return {
        start: async () => {
            void keepRunning("ticks", runTicks, options);
            await announce();
            follower.start();
            await follower.ready;
            void keepRunning("peers", runPeers, options);
            void keepRunning("host-list", runHostList, options);
            startMajorityPoll({
                self: self.name,
                replica,
                isolation,
                links,
                hosts: () => majorityHosts(slotHash, members()).map(host => host.name),
                isolationMilliseconds,
                clock,
                log,
                metrics,
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
            isWithdrawn = true;
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
