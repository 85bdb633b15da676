/**
 * The request path of one host: creates the router with everything that it depends on, and reports on them.
 */
import type { Clock } from "../contracts/clock.ts";
import type { Reason } from "../contracts/outcome.ts";
import { type Outcome, outcomes, reasons } from "../contracts/outcome.ts";
import type { Settings } from "../contracts/settings.ts";
import type { SlotHash } from "../decisions/hash.ts";
import type { RevisionTracker } from "../decisions/revisiontracker.ts";
import { type Member, shareOf } from "../decisions/share.ts";
import type { CallerRequest } from "../links/callers.ts";
import type { HostLinks } from "../links/hosts.ts";
import type { Log } from "../links/logs.ts";
import type { Metrics } from "../links/metrics.ts";
import { createAdmission } from "./admission.ts";
import { type ClaimKeeper, createClaimKeeper } from "./claimkeeper.ts";
import { createClaims } from "./claims.ts";
import { createDestinationResolver } from "./destinations.ts";
import { startGauges } from "./gauges.ts";
import { startLoadShedding } from "./loadshedding.ts";
import type { ObjectView } from "./objects.ts";
import { createLinkSuspicionChannel, createQuarantines, type QuarantineReport } from "./quarantines.ts";
import { createRouter, type Router } from "./router.ts";
import { createSender } from "./sender.ts";
import type { TargetViews } from "./target.ts";

export type RequestPathOptions = {
    settings: Settings;
    objects: ObjectView;
    views: TargetViews;
    revisionTracker: RevisionTracker;
    /** When the platform was first known to have this host's announcement; undefined while it does not. */
    announcedAt: () => number | undefined;
    slotHash: SlotHash;
    hosts: Pick<HostLinks, "ask" | "tell" | "handle" | "connected" | "onChange">;
    /** Counts a request that is sent to the owner of the slot. */
    countLoad: (pool: string, slot: number, key: string) => void;
    /** Resolves after the first complete read of the platform. */
    ready: Promise<void>;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

export type RequestReport = {
    claims: ReturnType<ClaimKeeper["report"]>;
    quarantine: QuarantineReport[];
};

export type RequestPath = {
    serve: Router["serve"];
    unfinishedBelow: Router["unfinishedBelow"];
    /** Counts a request that has ended, and logs it when it was refused. */
    recordDone: (request: CallerRequest, outcome: Outcome, reason: Reason | undefined) => void;
    /** Counts received bytes that were not a valid request. */
    recordMalformed: (reason: Reason) => void;
    report: () => RequestReport;
    /** Lifts a quarantine here and on all connected hosts. False when there is none. */
    removeQuarantine: (fingerprint: string) => boolean;
};

/** Assumed network round trip to a target in another zone. */
const otherZoneMilliseconds = 2;
/** A host that cannot be reached stops granting claims within this many times the freshness of assignments. */
const lapseFactor = 3;

/** Starts the request path of a host. It runs until the signal aborts. */
export const createRequestPath = (options: RequestPathOptions): RequestPath => {
    const { settings, objects, views, revisionTracker, slotHash, hosts, clock, log, metrics, signal } = options;
    const { name, zone, size } = settings.host;
    const { requests } = settings;
    const ownMember: Member = { name, size };
    let share = 1;

    const admission = createAdmission({
        queueLength: requests.queueLength,
        rampMilliseconds: requests.rampMilliseconds,
        clock,
        log,
        metrics,
        signal,
    });
    startGauges({ takeReadings: admission.takeReadings, metrics, clock, log, signal });
    const destinations = createDestinationResolver({
        objects,
        views,
        revisionTracker,
        announcedAt: options.announcedAt,
        slotHash,
        admission,
        roundTripMillisecondsTo: other => other === zone ? 0 : otherZoneMilliseconds,
        random: Math.random,
        countLoad: options.countLoad,
        clock,
    });
    const sender = createSender({ clock, onFinished: admission.complete });
    const keeper = createClaimKeeper({
        host: name,
        objects,
        hosts,
        revisionTracker,
        ready: options.ready,
        claimEntries: requests.claimEntries,
        claimAgeMilliseconds: requests.claimAgeMilliseconds,
        lapseMilliseconds: settings.ownership.freshnessMilliseconds * lapseFactor,
        clock,
        log,
        metrics,
        signal,
    });
    const claims = createClaims({ host: name, objects, hosts, keeper, slotHash, clock });
    const quarantines = createQuarantines({
        channel: createLinkSuspicionChannel(hosts),
        ageMilliseconds: requests.quarantineAgeMilliseconds,
        clock,
        log,
        metrics,
    });
    const router = createRouter({
        objects,
        destinations,
        admission,
        sender,
        claims,
        quarantines,
        share: () => share,
        loadShedder: startLoadShedding({
            latenessMilliseconds: requests.latenessMilliseconds,
            random: Math.random,
            clock,
            log,
            metrics,
            signal,
        }),
        random: Math.random,
        settings: requests,
        metrics,
        clock,
        signal,
    });

    const updateShare = (): void => {
        const members = objects.list("status").map(item => ({ name: item.name, size: item.value.size }));
        share = shareOf(members, ownMember);
        admission.setShare(share);
    };
    objects.onChange("status", updateShare);
    updateShare();

    return {
        serve: router.serve,
        unfinishedBelow: router.unfinishedBelow,
        recordDone: (request, outcome, reason) => {
            const { id, pool, receivedAt } = request;
            metrics.count("requests", { pool, outcome });
            metrics.timing("request-milliseconds", clock.now() - receivedAt, { pool });
            if (reason === undefined) {
                return;
            }
            metrics.count("refusals", { reason });
            const writeLine = outcome === outcomes.unknown ? log.info : log.debug;
            writeLine("request-refused", { request: id, pool, reason, outcome });
        },
        recordMalformed: reason => {
            metrics.count("requests", { pool: "none", outcome: reasons[reason].outcome });
            metrics.count("refusals", { reason });
        },
        report: () => ({ claims: keeper.report(), quarantine: quarantines.report() }),
        removeQuarantine: quarantines.remove,
    };
};
