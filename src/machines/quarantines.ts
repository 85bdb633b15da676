/**
 * Quarantines of requests that crash targets. Hosts send each other every change, so that all refuse the same requests.
 */
import { createHash } from "node:crypto";
import type { Clock } from "../contracts/clock.ts";
import type { CrashSuspicion } from "../contracts/requestmessages.ts";
import { type Crash, createQuarantine, type Suspect } from "../decisions/quarantine.ts";
import type { HostLinks } from "../links/hosts.ts";
import type { Log } from "../links/logs.ts";
import type { Metrics } from "../links/metrics.ts";
import { runAlone } from "./longtasks.ts";

/** What identifies a request that is sent again. */
export type RequestContent = {
    pool: string;
    method: string;
    path: string;
    key?: string | undefined;
    /** Who sends it, where that is part of what identifies it. */
    caller?: string | undefined;
    /** Who sends it, where that is not part of it: crashes under requests of one sender alone do not count against others. */
    sender?: string | undefined;
    body: Buffer | undefined;
};

export type TargetIncarnation = { name: string; incarnation: string };

/** An incarnation of a target whose connection broke during a request. */
export type LostTarget = TargetIncarnation & {
    /** Resolves to true when the incarnation has certainly not ended. */
    isAlive: () => Promise<boolean>;
    /**
     * Resolves to whether the incarnation answers at once, so that only the connection broke; other hosts are told of the
     * crash only when it does not. Where it is absent, they are told immediately.
     */
    answersCheck?: (() => Promise<boolean>) | undefined;
};

/** How a host tells the others of its suspicions. */
export type SuspicionChannel = {
    /** Sends a suspicion to all other hosts. */
    broadcast: (suspicion: CrashSuspicion) => void;
    /** Sets the listener for the suspicions of other hosts. */
    onSuspicion: (listener: (suspicion: CrashSuspicion) => void) => void;
    /** Sets the source of what a host that joins must be told. */
    onJoin: (list: () => CrashSuspicion[]) => void;
};

export type QuarantineReport = { pool: string; fingerprint: string; crashes: string[]; quarantined: boolean };

export type Quarantines = {
    /** Whether the request is refused because it crashed targets. */
    isQuarantined: (request: RequestContent) => boolean;
    /** Hash of what the request asks for, as in the log lines about it. */
    fingerprintOf: (request: RequestContent) => string;
    /** Whether at least one crash is recorded for the request. */
    isSuspect: (request: RequestContent) => boolean;
    /** Records that the connection broke while the request may have been running at the target. Returns its hash. */
    recordConnectionLost: (request: RequestContent, target: LostTarget) => string;
    /**
     * Records that the request was answered: it is no longer suspected, and not quarantined either where answers lift a
     * quarantine.
     */
    recordAnswered: (request: RequestContent) => void;
    /** Lifts a quarantine here and on all connected hosts. False when there is none. */
    remove: (fingerprint: string) => boolean;
    report: () => QuarantineReport[];
};

export type QuarantinesOptions = {
    channel: SuspicionChannel;
    /**
     * Resolves to true when a target of which another host reported a crash, some milliseconds ago, has certainly not
     * ended.
     */
    isReportedTargetAlive?: (target: TargetIncarnation, ageMilliseconds: number) => Promise<boolean>;
    /** How long a crash counts against a request. */
    ageMilliseconds: number;
    /** Number of crashes from which on a request is refused. */
    crashesUntilQuarantine?: number;
    /**
     * Whether answers to requests that were sent before their quarantine lift it, so that requests of which many run at the
     * same time are served again when some targets ended under them by chance. False by default.
     */
    answersLift?: boolean;
    clock: Clock;
    log: Log;
    metrics: Metrics;
};

/** Creates the channel of hosts that keep links to all others. */
export const createLinkSuspicionChannel = (
    hosts: Pick<HostLinks, "tell" | "handle" | "connected" | "onChange">,
): SuspicionChannel => ({
    broadcast: suspicion => {
        for (const host of hosts.connected()) {
            hosts.tell(host, suspicion);
        }
    },
    onSuspicion: listener => {
        hosts.handle("suspicion", (...[, suspicion]) => {
            listener(suspicion);
            return undefined;
        });
    },
    onJoin: list => {
        hosts.onChange((host, open) => {
            if (open) {
                list().forEach(suspicion => hosts.tell(host, suspicion));
            }
        });
    },
});

/** Hash of what the request asks for. It is the same on all hosts and for every attempt. */
const fingerprintOf = (request: RequestContent): string => {
    const hash = createHash("sha256");
    hash.update(`${request.pool}\n${request.method}\n${request.path}\n${request.key ?? ""}\n`);
    if (request.caller !== undefined) {
        hash.update(`caller ${request.caller}\n`);
    }
    if (request.body !== undefined) {
        hash.update(request.body);
    }
    return hash.digest("base64url").slice(0, 24);
};

/** Identifies a crash on all hosts. */
const crashIdOf = (pool: string, { name, incarnation }: TargetIncarnation): string => `${pool}/${name}#${incarnation}`;

/** Reads the target's name and its incarnation from the id of a crash. */
const targetOfCrash = (crash: string): TargetIncarnation => {
    const end = crash.lastIndexOf("#");
    return { name: crash.slice(crash.indexOf("/") + 1, end), incarnation: crash.slice(end + 1) };
};

/** Creates the quarantines of one host. */
export const createQuarantines = (options: QuarantinesOptions): Quarantines => {
    const { channel, clock, log, metrics } = options;
    const { ageMilliseconds, crashesUntilQuarantine } = options;
    const quarantine = createQuarantine({ ageMilliseconds, crashesUntilQuarantine });
    let suspectCount = 0;
    /** Requests whose quarantine was logged. */
    const reported = new Set<string>();

    const recount = (): void => {
        const known = new Set(quarantine.list(clock.now()).map(({ fingerprint }) => fingerprint));
        suspectCount = known.size;
        [...reported].filter(fingerprint => !known.has(fingerprint)).forEach(fingerprint =>
            reported.delete(fingerprint)
        );
        metrics.gauge("suspects", suspectCount);
    };

    /** Crashes of which other hosts were not told, by fingerprint and id. */
    const untold = new Set<string>();
    const untoldKey = (fingerprint: string, crash: string): string => `${fingerprint} ${crash}`;

    const broadcastRefuted = (pool: string, fingerprint: string, crash: Crash): void => {
        if (!untold.delete(untoldKey(fingerprint, crash.id))) {
            channel.broadcast(suspicionOf(pool, fingerprint, "refuted", crash));
        }
    };

    const suspicionOf = (
        pool: string,
        fingerprint: string,
        change: CrashSuspicion["change"],
        { id, sender }: Crash,
        ageMilliseconds = 0,
    ): CrashSuspicion => ({ kind: "suspicion", pool, fingerprint, change, crash: id, sender, ageMilliseconds });

    /** Whether the request is refused now. Reports the first time, as the passing of time alone may make it so. */
    const isQuarantined = (pool: string, fingerprint: string): boolean => {
        const isRefused = quarantine.isQuarantined(fingerprint, clock.now());
        if (isRefused && !reported.has(fingerprint)) {
            reported.add(fingerprint);
            log.warn("request-quarantined", { pool, fingerprint });
            metrics.count("quarantines", { pool });
        }
        return isRefused;
    };

    /** Records a crash. True when it was not known yet. */
    const recordCrash = (pool: string, fingerprint: string, crash: Crash, at: number): boolean => {
        const isNew = quarantine.recordCrash(pool, fingerprint, crash, at);
        isQuarantined(pool, fingerprint);
        recount();
        return isNew;
    };

    /** Withdraws a crash that did not happen, on all hosts. */
    const refute = (pool: string, fingerprint: string, crash: Crash): void => {
        const known = quarantine.list(clock.now()).find(suspect => suspect.fingerprint === fingerprint)?.crashes
            .filter(({ id }) => id === crash.id) ?? [];
        if (quarantine.removeCrash(fingerprint, crash.id)) {
            log.info("crash-refuted", { pool, fingerprint, crash: crash.id });
            recount();
            known.forEach(each => broadcastRefuted(pool, fingerprint, each));
        }
    };

    const verifyCrash = async (
        isAlive: Promise<boolean> | undefined,
        pool: string,
        fingerprint: string,
        crash: Crash,
    ): Promise<void> => {
        await runAlone("crash-check", async () => {
            if (await isAlive === true) {
                refute(pool, fingerprint, crash);
            }
        }, options);
    };

    /** Tells the other hosts of a crash unless the target answers the check. */
    const tellUnlessRunning = async (
        answersCheck: () => Promise<boolean>,
        pool: string,
        fingerprint: string,
        crash: Crash,
    ): Promise<void> => {
        await runAlone("crash-check", async () => {
            const since = clock.now();
            untold.add(untoldKey(fingerprint, crash.id));
            if (await answersCheck()) {
                refute(pool, fingerprint, crash);
            }
            // A crash that was withdrawn meanwhile is told to nobody.
            else if (untold.has(untoldKey(fingerprint, crash.id))) {
                channel.broadcast(suspicionOf(pool, fingerprint, "crashed", crash, clock.now() - since));
            }
            untold.delete(untoldKey(fingerprint, crash.id));
        }, options);
    };

    /** Applies a change that another host sent. */
    const applyChange = (suspicion: CrashSuspicion): void => {
        const { pool, fingerprint, change, crash, sender, ageMilliseconds } = suspicion;
        if (change === "crashed") {
            recordCrash(pool, fingerprint, { id: crash, sender }, clock.now() - ageMilliseconds);
            const isAlive = options.isReportedTargetAlive?.(targetOfCrash(crash), ageMilliseconds);
            void verifyCrash(isAlive, pool, fingerprint, { id: crash, sender });
        }
        else if (change === "refuted") {
            quarantine.removeCrash(fingerprint, crash);
        }
        else {
            quarantine.clear(fingerprint);
        }
        recount();
    };

    const clear = (fingerprint: string): boolean => {
        const suspect = quarantine.list(clock.now()).find(known => known.fingerprint === fingerprint);
        if (suspect === undefined) {
            return false;
        }
        quarantine.clear(fingerprint);
        recount();
        for (const crash of suspect.crashes) {
            broadcastRefuted(suspect.pool, fingerprint, crash);
        }
        return true;
    };

    /** Fingerprint of the request; undefined, and not computed, while there are no suspects. */
    const fingerprintIfSuspects = (request: RequestContent): string | undefined =>
        suspectCount === 0 ? undefined : fingerprintOf(request);

    channel.onSuspicion(applyChange);
    channel.onJoin(() => {
        const now = clock.now();
        return quarantine.list(now).flatMap(({ pool, fingerprint, crashes }) =>
            crashes.map(crash => suspicionOf(pool, fingerprint, "crashed", crash, now - crash.at))
        );
    });

    return {
        fingerprintOf,
        isQuarantined: request => {
            const fingerprint = fingerprintIfSuspects(request);
            return fingerprint !== undefined && isQuarantined(request.pool, fingerprint);
        },
        isSuspect: request => {
            const fingerprint = fingerprintIfSuspects(request);
            return fingerprint !== undefined && quarantine.isSuspect(fingerprint, clock.now());
        },
        recordConnectionLost: (request, target) => {
            const { pool } = request;
            const fingerprint = fingerprintOf(request);
            const crash = { id: crashIdOf(pool, target), sender: request.sender };
            const isNew = recordCrash(pool, fingerprint, crash, clock.now());
            if (isNew && target.answersCheck !== undefined) {
                void tellUnlessRunning(target.answersCheck, pool, fingerprint, crash);
            }
            else if (isNew) {
                channel.broadcast(suspicionOf(pool, fingerprint, "crashed", crash));
            }
            void verifyCrash(target.isAlive(), pool, fingerprint, crash);
            return fingerprint;
        },
        recordAnswered: request => {
            const fingerprint = fingerprintIfSuspects(request);
            const isQuarantined = fingerprint !== undefined && quarantine.isQuarantined(fingerprint, clock.now());
            if (fingerprint === undefined || (isQuarantined && options.answersLift !== true)) {
                return;
            }
            if (clear(fingerprint) && isQuarantined) {
                log.warn("request-answered-in-quarantine", { pool: request.pool, fingerprint });
            }
        },
        remove: clear,
        report: () => {
            const now = clock.now();
            return quarantine.list(now).map(({ pool, fingerprint, crashes }: Suspect) => ({
                pool,
                fingerprint,
                crashes: [...new Set(crashes.map(({ id }) => id))],
                quarantined: quarantine.isQuarantined(fingerprint, now),
            }));
        },
    };
};
