/**
 * Logs: one line of key=value pairs for each event. pino filters by level and collects the fields, logfmt formats the
 * line.
 */
import logfmt from "logfmt";
import { pino } from "pino";

export type LogFields = Record<string, string | number | boolean | undefined>;

/** Writes events by level. `child` returns a log that adds the given fields to every event. */
export type Log = {
    debug: (event: string, fields?: LogFields) => void;
    info: (event: string, fields?: LogFields) => void;
    warn: (event: string, fields?: LogFields) => void;
    error: (event: string, fields?: LogFields) => void;
    child: (fields: LogFields) => Log;
};

export type LogLevel = "debug" | "info" | "warn" | "error" | "silent";

/** `setLevel` holds for this log and for the children that it gets later. */
export type RootLog = Log & { setLevel: (level: LogLevel) => void };

export type LogOptions = {
    level: LogLevel;
    /** Receives each line with its line break. Defaults to standard output. */
    write?: (line: string) => void;
    /** Returns milliseconds since the Unix epoch; tests replace it to get the same lines in each run. */
    wallClock?: () => number;
};

const writeToStandardOutput = (line: string): void => {
    process.stdout.write(line);
};

const toLog = (logger: pino.Logger): Log => ({
    debug: (event, fields = {}) => logger.debug({ event, ...fields }),
    info: (event, fields = {}) => logger.info({ event, ...fields }),
    warn: (event, fields = {}) => logger.warn({ event, ...fields }),
    error: (event, fields = {}) => logger.error({ event, ...fields }),
    child: fields => toLog(logger.child(fields)),
});

/**
 * Creates a log.
 *
 * @example
 * const log = createLog({ level: "info" });
 * log.info("request-refused", { pool: "orders", reason: "queue-full" });
 * // time=2026-01-01T00:00:00.000Z level=info event=request-refused pool=orders reason=queue-full
 */
export const createLog = (options: LogOptions): RootLog => {
    const write = options.write ?? writeToStandardOutput;
    const wallClock = options.wallClock ?? Date.now;
    const destination = {
        write: (json: string): void => {
            write(`${logfmt.stringify(JSON.parse(json) as Record<string, unknown>)}\n`);
        },
    };
    const logger = pino({
        level: options.level,
        // eslint-disable-next-line no-restricted-syntax -- pino takes null for "no process id and host name".
        base: null,
        timestamp: () => `,"time":"${new Date(wallClock()).toISOString()}"`,
        formatters: { level: label => ({ level: label }) },
    }, destination);
    const setLevel = (level: LogLevel): void => {
        logger.level = level;
    };
    return { ...toLog(logger), setLevel };
};

const ignore = (): void => undefined;

/** A log that drops every event, for tests and for use as a library. */
export const silentLog: Log = { debug: ignore, info: ignore, warn: ignore, error: ignore, child: () => silentLog };
