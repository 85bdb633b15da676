/**
 * Questions of commands to hosts at their operators' addresses.
 */
import { request } from "undici";
import { systemClock } from "../links/clock.ts";

const timeoutMilliseconds = 1_000;

/**
 * Returns the JSON value with which the host at `address` answers a GET of `path`. An answer that has arrived in time counts,
 * also if the command runs late.
 *
 * @throws when there is no answer in time, or it is no JSON.
 */
export const askHost = async (address: string, path: string): Promise<unknown> => {
    const timeout = new AbortController();
    const cancelTimer = systemClock.after(timeoutMilliseconds, () => timeout.abort());
    try {
        const answer = await request(`http://${address}${path}`, { signal: timeout.signal });
        return await answer.body.json();
    }
    finally {
        cancelTimer();
    }
};
