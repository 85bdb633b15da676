/**
 * Opens an address on which a host listens. Another process may hold it for a moment: the former process of the host
 * while it stops, or one whose outgoing connection was given the port. A machine may also get the address later.
 */
import type { Clock } from "../contracts/clock.ts";
import { messageOf } from "../contracts/errors.ts";
import { codeOf, startWaitOf } from "../decisions/startwait.ts";
import type { Log } from "./logs.ts";
import type { Metrics } from "./metrics.ts";

/** An address on which a host listens. `name` tells what for. */
export type ListeningAddress = { name: string; address: string };

export type ListeningOptions = {
    /** How long to try while the address is in use. */
    waitMilliseconds: number;
    clock: Clock;
    log: Log;
    /** `start-waiting` is 1 while an address is waited for. */
    metrics: Pick<Metrics, "gauge">;
    /** Ends the attempts. */
    signal: AbortSignal;
};

const retryMilliseconds = 100;

/** A wait that goes on is logged again after this time. */
const noticeMilliseconds = 30_000;

/**
 * Calls `open` until it succeeds. Rejects with its error when that is one to end at (`decisions/startwait.ts`), when the
 * address was in use for `waitMilliseconds`, or when the signal aborts.
 */
export const listenWithRetries = async <Endpoint>(
    { name, address }: ListeningAddress,
    open: () => Promise<Endpoint>,
    { waitMilliseconds, clock, log, metrics, signal }: ListeningOptions,
): Promise<Endpoint> => {
    let cause: string | undefined;
    let since = clock.now();
    let noticedAt = -Infinity;
    const reportWaiting = (isWaiting: boolean): void =>
        metrics.gauge("start-waiting", Number(isWaiting), { for: name });
    reportWaiting(false);
    for (;;) {
        try {
            const endpoint = await open();
            reportWaiting(false);
            return endpoint;
        }
        catch (error) {
            const wait = startWaitOf(error);
            const now = clock.now();
            if (codeOf(error) !== cause) {
                cause = codeOf(error);
                since = now;
                noticedAt = -Infinity;
            }
            const isOver = wait?.lasts === "grace" && now - since >= waitMilliseconds;
            if (wait === undefined || isOver || signal.aborted) {
                throw error;
            }
            reportWaiting(true);
            if (now - noticedAt >= noticeMilliseconds) {
                noticedAt = now;
                const afterMilliseconds = Math.round(now - since);
                const until = wait.lasts === "grace" ? { waitMilliseconds } : {};
                log.warn(wait.event, { for: name, address, afterMilliseconds, ...until, error: messageOf(error) });
            }
            await clock.sleep(retryMilliseconds, signal);
        }
    }
};
