/**
 * The announcement is the host's own status object at the platform, by which other hosts find it. A host announces
 * itself before it admits requests and removes the announcement when it has stopped. If a host is gone for good, one of
 * the other hosts removes its announcement.
 */
import type { Clock } from "../contracts/clock.ts";
import { messageOf } from "../contracts/errors.ts";
import type { HostStatus } from "../contracts/objects.ts";
import type { Log } from "../links/logs.ts";
import type { PlatformLink } from "../links/platform.ts";
import { writeObject } from "../links/writes.ts";
import type { ObjectView } from "./objects.ts";

export type AnnouncementOptions = {
    host: string;
    platform: PlatformLink;
    objects: ObjectView;
    clock: Clock;
    log: Log;
    signal: AbortSignal;
};

export type Announcement = {
    /** Writes the status and retries until the platform accepts it or the signal aborts. True when it was accepted. */
    write: (status: HostStatus) => Promise<boolean>;
    /** Writes the status without retrying until it succeeds; logs a failure. True when the platform accepted it. */
    tryToWrite: (status: HostStatus) => Promise<boolean>;
    /**
     * Removes the status of this host or of a host that is gone. Retries a few times and logs each failure. True when the
     * platform has removed it.
     */
    remove: (host: string) => Promise<boolean>;
};

const removalAttempts = 3;
const firstRetryMilliseconds = 200;
const maxRetryMilliseconds = 4_000;

/** Creates the announcement of one host. */
export const createAnnouncement = (options: AnnouncementOptions): Announcement => {
    const { host, platform, clock, log, signal } = options;

    const put = async (name: string, value: HostStatus | undefined, version: number): Promise<boolean> => {
        const deleted = value === undefined;
        const request = { kind: "status", name, value: value ?? {}, ifVersion: version, deleted } as const;
        const result = await writeObject(request, { platform, clock, maxAttempts: 2 });
        return result.result === "written";
    };

    const tryToWrite = async (status: HostStatus): Promise<boolean> => {
        try {
            const current = await platform.get("status", host);
            return await put(host, status, current?.version ?? 0);
        }
        catch (error) {
            log.warn("announcement-failed", { error: messageOf(error) });
            return false;
        }
    };

    const removeOnce = async (name: string): Promise<boolean> => {
        const version = name === host
            ? (await platform.get("status", name))?.version
            : options.objects.newest("status", name)?.version;
        return version !== undefined && put(name, undefined, version);
    };

    return {
        write: async status => {
            let delay = firstRetryMilliseconds;
            while (!signal.aborted) {
                if (await tryToWrite(status)) {
                    return true;
                }
                await clock.sleep(delay * (0.5 + Math.random()), signal);
                delay = Math.min(delay * 2, maxRetryMilliseconds);
            }
            return false;
        },
        tryToWrite,
        remove: async name => {
            for (let attempt = 1; attempt <= removalAttempts; attempt += 1) {
                try {
                    return await removeOnce(name);
                }
                catch (error) {
                    log.warn("announcement-removal-failed", { removed: name, attempt, error: messageOf(error) });
                }
            }
            return false;
        },
    };
};
