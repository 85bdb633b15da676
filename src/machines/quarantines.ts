/**
 * Quarantines: this host's record of requests that crash targets, kept equal to that of the other hosts by messages.
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
    isSuspect: (request: CallerRequest) => boolean;
    /** The connection broke while the request may have run at an incarnation of the target. */
    recordConnectionLost: (request: CallerRequest, view: TargetView, incarnation: string | undefined) => void;
    recordAnswered: (request: CallerRequest) => void;
    /** Lifts a quarantine here and on all hosts that can be reached. False when there is none. */
    remove: (fingerprint: string) => boolean;
    report: () => QuarantineReport[];
};

export type QuarantinesOptions = {
    hosts: Pick<HostLinks, "tell" | "handle" | "connected" | "onChange">;
    ageMilliseconds: number;
    clock: Clock;
    log: Log;
    metrics: Metrics;
};

const probeMilliseconds = 250;

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
    let suspects = 0;

    const recount = (): void => {
        suspects = quarantine.list(clock.now()).length;
        metrics.gauge("suspects", suspects);
    };

    const spread = (suspicion: CrashSuspicion): void => {
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

    const noteCrash = (pool: string, fingerprint: string, crash: string, at: number): boolean => {
        const wasQuarantined = quarantine.isQuarantined(fingerprint, clock.now());
        const isNew = quarantine.recordCrash(pool, fingerprint, crash, at);
        if (!wasQuarantined && quarantine.isQuarantined(fingerprint, clock.now())) {
            log.warn("request-quarantined", { pool, fingerprint });
            metrics.count("quarantines", { pool });
        }
        recount();
        return isNew;
    };

    const take = (suspicion: CrashSuspicion): void => {
        const { pool, fingerprint, change, crash } = suspicion;
        if (change === "crashed") {
            noteCrash(pool, fingerprint, crash, clock.now() - suspicion.ageMilliseconds);
        }
        else if (change === "refuted") {
            quarantine.removeCrash(fingerprint, crash);
        }
        else {
            quarantine.clear(fingerprint);
        }
        recount();
    };

    /** A target that still answers with the same incarnation did not crash. */
    const verify = async (view: TargetView, incarnation: string, fingerprint: string, crash: string): Promise<void> => {
        const health = await view.link.health(probeMilliseconds);
        if (health?.incarnation === incarnation && quarantine.removeCrash(fingerprint, crash)) {
            recount();
            spread(suspicionOf(view.pool, fingerprint, "refuted", crash));
        }
    };

    const clear = (fingerprint: string): boolean => {
        const known = quarantine.clear(fingerprint);
        if (known) {
            recount();
            spread(suspicionOf("", fingerprint, "cleared", ""));
        }
        return known;
    };

    const find = (request: CallerRequest): string | undefined => suspects === 0 ? undefined : fingerprintOf(request);

    hosts.handle("suspicion", (...[, suspicion]) => {
        take(suspicion);
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
            const fingerprint = find(request);
            return fingerprint !== undefined && quarantine.isQuarantined(fingerprint, clock.now());
        },
        isSuspect: request => {
            const fingerprint = find(request);
            return fingerprint !== undefined && quarantine.isSuspect(fingerprint, clock.now());
        },
        recordConnectionLost: (request, view, incarnation) => {
            const fingerprint = fingerprintOf(request);
            const crash = `${view.pool}/${view.target.name}#${incarnation ?? "unknown"}`;
            if (noteCrash(view.pool, fingerprint, crash, clock.now())) {
                spread(suspicionOf(view.pool, fingerprint, "crashed", crash));
            }
            void verify(view, incarnation ?? "unknown", fingerprint, crash);
        },
        recordAnswered: request => {
            const fingerprint = find(request);
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
