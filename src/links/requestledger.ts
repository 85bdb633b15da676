/**
 * The ledger of callers' requests: each one that has begun ends in exactly one way, so that the requests that have begun are
 * at any time those that have ended and those in flight. Health checks are left out. A head that arrives counts from when it
 * is whole, refused or given up.
 */
import type { Metrics } from "./metrics.ts";

export const requestEnds = {
    /** The answer of a target was handed to the system whole. */
    answered: "answered",
    /** A refusal was handed to the system whole. */
    refused: "refused",
    /** The caller ended the connection, or took nothing for the idle time. */
    callerGone: "caller-gone",
    /** The host or the target ended the connection before the answer was written whole. */
    cut: "cut",
    /** The request arrived after the host had begun to end its connection. */
    dropped: "dropped",
} as const;

export type RequestEnd = (typeof requestEnds)[keyof typeof requestEnds];

/** Records the end of a request, with the reason unless a target answered it. Only the first call counts. */
export type RecordRequestEnd = (end: RequestEnd, reason?: string) => void;

export type RequestLedger = {
    /** Records that a request has begun. */
    begin: () => RecordRequestEnd;
};

/** Value of the metric's label `reason` for requests that a target answered. */
const noReason = "none";

/** Creates an empty ledger, which is kept by the metrics only. */
export const createRequestLedger = (metrics?: Pick<Metrics, "count" | "gauge">): RequestLedger => {
    let inFlight = 0;
    const changeInFlight = (change: number): void => {
        inFlight += change;
        metrics?.gauge("requests-in-flight", inFlight);
    };
    return {
        begin: () => {
            let hasEnded = false;
            metrics?.count("request-begins");
            changeInFlight(1);
            return (end, reason = noReason) => {
                if (!hasEnded) {
                    hasEnded = true;
                    metrics?.count("request-ends", { end, reason });
                    changeInFlight(-1);
                }
            };
        },
    };
};

/** The requests of one connection in the ledger. */
export type ConnectionLedger = RequestLedger & {
    /** Records the same end for all requests that have begun on the connection and not ended. */
    endAll: RecordRequestEnd;
};

/** Records the requests of a connection in the ledger; none has begun on it at first. */
export const createConnectionLedger = (ledger: RequestLedger): ConnectionLedger => {
    const recordEnds = new Set<RecordRequestEnd>();
    return {
        begin: () => {
            const recordInLedger = ledger.begin();
            const recordEnd: RecordRequestEnd = (...request) => {
                recordEnds.delete(recordEnd);
                recordInLedger(...request);
            };
            recordEnds.add(recordEnd);
            return recordEnd;
        },
        endAll: (...request) => recordEnds.forEach(recordEnd => recordEnd(...request)),
    };
};
