/**
 * Exceptions and rejections that nobody caught. One odd event of one connection must not end the requests of all
 * callers, so the process logs and counts it and goes on.
 */
import type { Log } from "./logs.ts";
import type { Metrics } from "./metrics.ts";

/** Logs and counts uncaught exceptions and unhandled rejections of the process, which then do not end it. */
export const catchExceptions = (log: Log, metrics: Pick<Metrics, "count">): void => {
    process.on("uncaughtException", (error, origin) => {
        metrics.count("unexpected-exceptions", { origin });
        log.error("unexpected-exception", { origin, error: error instanceof Error ? error.stack : String(error) });
    });
};
