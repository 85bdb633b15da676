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
};

/** Limit on the lines of each kind; those left out are counted in the next one. */
const linesPerSecond = 20;

/** Creates the functions. */
export const createCallerLog = (
    { log, metrics, clock }: { log: Log; metrics: Metrics; clock: Clock },
): CallerLog => {
    const createLine = (event: string): (fields: LogFields) => void => {
        const limit = createLogRateLimit(linesPerSecond);
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
        onMalformed: (reason, due) => {
            metrics.count("requests", { outcome: "not-run", reason });
            logRefusedBytes({ reason, due });
        },
        onConnectionEnd: ({ reason, due, requestIds }) => {
            const endedBy = connectionEnds[reason];
            metrics.count("answers-lost", { reason, by: endedBy }, due);
            logConnectionEnd({ reason, by: endedBy, due, request: requestIds[0], requests: requestIds.join(",") });
        },
        onException: (error, requestId) =>
            log.error("request-exception", {
                request: requestId,
                error: error instanceof Error ? error.stack : String(error),
            }),
    };
};
