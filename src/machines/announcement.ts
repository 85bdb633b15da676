/**
 * The announcement: the host's own status object at the platform, by which the others find it. A host announces itself
 * before it admits, and takes the announcement back when it has stopped. Announcements of hosts that are gone for good
 * are removed by one of the others.
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
    /** Writes the status, trying again until the platform takes it or the signal aborts. True when it was taken. */
    write: (status: HostStatus) => Promise<boolean>;
    /** Writes the status once; a failure is logged. */
    tryToWrite: (status: HostStatus) => Promise<boolean>;
    /** Removes the host's own status, or that of a host that is gone. A failure is logged. */
    remove: (host: string) => Promise<void>;
};

const removalAttempts = 3;
const retryMilliseconds = 200;
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

    const removeOnce = async (name: string): Promise<void> => {
        const version = name === host
            ? (await platform.get("status", name))?.version
            : options.objects.newest("status", name)?.version;
        if (version !== undefined) {
            await put(name, undefined, version);
        }
    };

    return {
        write: async status => {
            let delay = retryMilliseconds;
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
                    await removeOnce(name);
                    return;
                }
                catch (error) {
                    log.warn("announcement-not-removed", { removed: name, attempt, error: messageOf(error) });
                }
            }
        },
    };
};
