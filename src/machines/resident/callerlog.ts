/**
 * Lines and counters on what callers' connections go through: refused bytes, ends while answers were due, exceptions.
 */
import type { Clock } from "../../contracts/clock.ts";
import type { Reason } from "../../contracts/outcome.ts";
import { createLogRateLimit } from "../../decisions/lograte.ts";
import { type ConnectionEnd, connectionEnds } from "../../links/callerconnections.ts";
import type { Log, LogFields } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";

/** Functions that a caller link calls. */
export type CallerLog = {
    onMalformed: (reason: Reason, due: number) => void;
    onConnectionEnd: (end: ConnectionEnd) => void;
    onException: (error: unknown, requestId: string | undefined) => void;
    /** Tells of a request that no target answered. */
    logRequestEnd: (fields: LogFields) => void;
};

/** Changes that operators have made, for lines on what they may have caused. */
export type PlannedWork = {
    isStopping: boolean;
    /** Monotonic times of the last reload of the settings and of the last change of the route table. */
    reloadedAt: number | undefined;
    tableChangedAt: number | undefined;
};

export type CallerLogOptions = {
    log: Log;
    metrics: Metrics;
    clock: Clock;
    /** By how much the event loop was late in the last second or two, in milliseconds. */
    lateness: () => number;
    plannedWork: () => PlannedWork;
};

/** Limit on the lines of each kind; those left out are counted in the next one. */
const linesPerSecond = 20;
/** A host gets 12 to 24 requests a second; clients that send ahead are refused thousands. */
const requestLinesPerSecond = 100;

/** Creates the functions. */
export const createCallerLog = ({ log, metrics, clock, lateness, plannedWork }: CallerLogOptions): CallerLog => {
    const millisecondsSince = (time: number | undefined): number | undefined =>
        time === undefined ? undefined : Math.round(clock.now() - time);
    const createLine = (event: string, perSecond = linesPerSecond): (fields: LogFields) => void => {
        const limit = createLogRateLimit(perSecond);
        return fields => {
            const { write, leftOut } = limit.take(clock.now());
            if (write) {
                log.info(event, leftOut > 0 ? { ...fields, leftOut } : fields);
            }
        };
    };
    const logRefusedBytes = createLine("caller-bytes-refused");
    const logConnectionEnd = createLine("caller-connection-ended");

    return {
        logRequestEnd: createLine("request-ended", requestLinesPerSecond),
        onMalformed: (reason, due) => {
            metrics.count("requests", { outcome: "not-run", reason });
            logRefusedBytes({ reason, due });
        },
        onConnectionEnd: ({ reason, phase, due, requestIds, dropped, unfinishedBytes, unreadBytes }) => {
            const endedBy = connectionEnds[reason];
            if (due > 0) {
                metrics.count("answers-lost", { reason, by: endedBy }, due);
            }
            const { isStopping, reloadedAt, tableChangedAt } = plannedWork();
            logConnectionEnd({
                reason,
                by: endedBy,
                due,
                request: requestIds[0],
                requests: requestIds.join(","),
                phase,
                dropped,
                unfinishedBytes,
                unreadBytes,
                lateMilliseconds: Math.round(lateness()),
                isStopping,
                sinceReloadMilliseconds: millisecondsSince(reloadedAt),
                sinceTableMilliseconds: millisecondsSince(tableChangedAt),
            });
        },
        onException: (error, requestId) =>
            log.error("request-exception", {
                request: requestId,
                error: error instanceof Error ? error.stack : String(error),
            }),
    };
};
