/**
 * Opens an address on which a host listens. Another process may hold it: the former process of the host while it stops or
 * is frozen, or one whose outgoing connection was given the port. A machine may also get the address later.
 */
import type { Clock } from "../contracts/clock.ts";
import { messageOf } from "../contracts/errors.ts";
import { addressWaitEventOf, codeOf, createWaitNotices } from "../decisions/startwait.ts";
import type { Log } from "./logs.ts";
import type { Metrics } from "./metrics.ts";

/** An address on which a host listens. `name` tells what for. */
export type ListeningAddress = { name: string; address: string };

export type ListeningOptions = {
    clock: Clock;
    log: Log;
    /** `start-waiting` is 1 while an address is waited for. */
    metrics: Pick<Metrics, "gauge">;
    /** Ends the attempts. */
    signal: AbortSignal;
};

/** The pause between attempts grows with the wait, so that an address is taken up to a hundredth of it late. */
const pauses = { shortestMilliseconds: 100, longestMilliseconds: 1_000, partOfWait: 0.01 };

const pauseAfter = (waitedMilliseconds: number): number =>
    Math.min(pauses.longestMilliseconds, Math.max(pauses.shortestMilliseconds, waitedMilliseconds * pauses.partOfWait));

/**
 * Calls `open` until it succeeds. Rejects with its error when that is one to end at (`decisions/startwait.ts`) or when the
 * signal aborts.
 */
export const listenWithRetries = async <Endpoint>(
    { name, address }: ListeningAddress,
    open: () => Promise<Endpoint>,
    { clock, log, metrics, signal }: ListeningOptions,
): Promise<Endpoint> => {
    const notices = createWaitNotices();
    const startedAt = clock.now();
    let lastCode: string | undefined;
    let changes = 0;
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
            const event = addressWaitEventOf(error);
            if (event === undefined || signal.aborted) {
                reportWaiting(false);
                throw error;
            }
            reportWaiting(true);
            const code = codeOf(error) ?? "";
            changes += Number(lastCode !== undefined && lastCode !== code);
            lastCode = code;
            const waitedMilliseconds = clock.now() - startedAt;
            if (notices.isDue(code, clock.now())) {
                const afterMilliseconds = Math.round(waitedMilliseconds);
                log.warn(event, { for: name, address, code, afterMilliseconds, changes, error: messageOf(error) });
            }
            await clock.sleep(pauseAfter(waitedMilliseconds), signal);
        }
    }
};
