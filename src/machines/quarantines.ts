/**
 * Quarantines of requests that crash targets. Hosts send each other every change, so that all refuse the same requests.
 */
import { createHash } from "node:crypto";
import type { Clock } from "../contracts/clock.ts";
import type { CrashSuspicion } from "../contracts/requestmessages.ts";
import { createQuarantine, type Suspect } from "../decisions/quarantine.ts";
import type { CallerRequest } from "../links/callers.ts";
import type { HostLinks } from "../links/hosts.ts";
import type { Log } from "../links/logs.ts";
import type { Metrics } from "../links/metrics.ts";
import type { TargetView } from "./target.ts";

export type QuarantineReport = { pool: string; fingerprint: string; crashes: string[]; quarantined: boolean };

export type Quarantines = {
    /** Whether the request is refused because it crashed targets. */
    isQuarantined: (request: CallerRequest) => boolean;
    /** Whether at least one crash is recorded for the request. */
    isSuspect: (request: CallerRequest) => boolean;
    /** Records that the connection broke while the request may have been running at this incarnation of the target. */
    recordConnectionLost: (request: CallerRequest, view: TargetView, incarnation: string | undefined) => void;
    /** Records that the request was answered: it is no longer suspected, unless it is quarantined. */
    recordAnswered: (request: CallerRequest) => void;
    /** Lifts a quarantine here and on all connected hosts. False when there is none. */
    remove: (fingerprint: string) => boolean;
    report: () => QuarantineReport[];
};

export type QuarantinesOptions = {
    hosts: Pick<HostLinks, "tell" | "handle" | "connected" | "onChange">;
    /** How long a crash counts against a request. */
    ageMilliseconds: number;
    clock: Clock;
    log: Log;
    metrics: Metrics;
};

const healthTimeoutMilliseconds = 250;

/** Hash of what the request asks for. It is the same on all hosts and for every attempt. */
const fingerprintOf = (request: CallerRequest): string => {
    const hash = createHash("sha256");
    hash.update(`${request.pool}\n${request.method}\n${request.path}\n${request.key ?? ""}\n`);
    if (request.body !== undefined) {
        hash.update(request.body);
    }
    return hash.digest("base64url").slice(0, 24);
};

/** Creates the quarantines of one host. */
export const createQuarantines = (options: QuarantinesOptions): Quarantines => {
    const { hosts, clock, log, metrics } = options;
    const quarantine = createQuarantine(options.ageMilliseconds);
    let suspectCount = 0;

    const recount = (): void => {
        suspectCount = quarantine.list(clock.now()).length;
        metrics.gauge("suspects", suspectCount);
    };

    const broadcast = (suspicion: CrashSuspicion): void => {
        for (const host of hosts.connected()) {
            hosts.tell(host, suspicion);
        }
    };

    const suspicionOf = (
        pool: string,
        fingerprint: string,
        change: CrashSuspicion["change"],
        crash: string,
        ageMilliseconds = 0,
    ): CrashSuspicion => ({ kind: "suspicion", pool, fingerprint, change, crash, ageMilliseconds });

    /** Records a crash. True when it was not known yet. */
    const recordCrash = (pool: string, fingerprint: string, crash: string, at: number): boolean => {
        const wasQuarantined = quarantine.isQuarantined(fingerprint, clock.now());
        const isNew = quarantine.recordCrash(pool, fingerprint, crash, at);
        if (!wasQuarantined && quarantine.isQuarantined(fingerprint, clock.now())) {
            log.warn("request-quarantined", { pool, fingerprint });
            metrics.count("quarantines", { pool });
        }
        recount();
        return isNew;
    };

    /** Applies a change that another host sent. */
    const applyChange = (suspicion: CrashSuspicion): void => {
        const { pool, fingerprint, change, crash } = suspicion;
        if (change === "crashed") {
            recordCrash(pool, fingerprint, crash, clock.now() - suspicion.ageMilliseconds);
        }
        else if (change === "refuted") {
            quarantine.removeCrash(fingerprint, crash);
        }
        else {
            quarantine.clear(fingerprint);
        }
        recount();
    };

    /** Withdraws the crash when the target still answers with the same incarnation: it did not crash. */
    const verifyCrash = async (
        view: TargetView,
        incarnation: string,
        fingerprint: string,
        crash: string,
    ): Promise<void> => {
        const health = await view.link.health(healthTimeoutMilliseconds);
        if (health?.incarnation === incarnation && quarantine.removeCrash(fingerprint, crash)) {
            recount();
            broadcast(suspicionOf(view.pool, fingerprint, "refuted", crash));
        }
    };

    const clear = (fingerprint: string): boolean => {
        const wasKnown = quarantine.clear(fingerprint);
        if (wasKnown) {
            recount();
            broadcast(suspicionOf("", fingerprint, "cleared", ""));
        }
        return wasKnown;
    };

    /** Fingerprint of the request; undefined, and not computed, while there are no suspects. */
    const fingerprintIfSuspects = (request: CallerRequest): string | undefined =>
        suspectCount === 0 ? undefined : fingerprintOf(request);

    hosts.handle("suspicion", (...[, suspicion]) => {
        applyChange(suspicion);
        return undefined;
    });
    hosts.onChange((host, open) => {
        if (!open) {
            return;
        }
        const now = clock.now();
        for (const { pool, fingerprint, crashes } of quarantine.list(now)) {
            for (const [crash, at] of crashes) {
                hosts.tell(host, suspicionOf(pool, fingerprint, "crashed", crash, now - at));
            }
        }
    });

    return {
        isQuarantined: request => {
            const fingerprint = fingerprintIfSuspects(request);
            return fingerprint !== undefined && quarantine.isQuarantined(fingerprint, clock.now());
        },
        isSuspect: request => {
            const fingerprint = fingerprintIfSuspects(request);
            return fingerprint !== undefined && quarantine.isSuspect(fingerprint, clock.now());
        },
        recordConnectionLost: (request, view, incarnation) => {
            const fingerprint = fingerprintOf(request);
            const crash = `${view.pool}/${view.target.name}#${incarnation ?? "unknown"}`;
            if (recordCrash(view.pool, fingerprint, crash, clock.now())) {
                broadcast(suspicionOf(view.pool, fingerprint, "crashed", crash));
            }
            void verifyCrash(view, incarnation ?? "unknown", fingerprint, crash);
        },
        recordAnswered: request => {
            const fingerprint = fingerprintIfSuspects(request);
            if (fingerprint !== undefined && !quarantine.isQuarantined(fingerprint, clock.now())) {
                clear(fingerprint);
            }
        },
        remove: clear,
        report: () => {
            const now = clock.now();
            return quarantine.list(now).map(({ pool, fingerprint, crashes }: Suspect) => ({
                pool,
                fingerprint,
                crashes: [...crashes.keys()],
                quarantined: quarantine.isQuarantined(fingerprint, now),
            }));
        },
    };
};
