/**
 * How long each host has answered nobody, as one host sees it that asks them in turn. A host counts as gone when it has
 * been silent for far longer than faults last, to this host and to all that this host can reach.
 */

export type SilentHost = { sinceMilliseconds: number; attempts: number };

export type HostSilence = {
    /** Returns the name of a host that is due to be asked; undefined when there is none. */
    due: (hosts: readonly { name: string; revision: number }[], now: number) => string | undefined;
    /** Records that the host answered, or told by others that it is there. */
    recordHeard: (name: string, now: number) => void;
    /** Records that the host did not answer. `revision` is that of its registration: a new one is a sign of life. */
    recordSilent: (name: string, revision: number, now: number) => void;
    /** Returns how long the host has been silent; undefined while it is not. */
    silence: (name: string, now: number) => SilentHost | undefined;
    /** Whether others are to be asked for the host. */
    mayBeGone: (name: string) => boolean;
    /** Whether the host counts as gone. */
    isGone: (name: string, now: number) => boolean;
};

/** Interval at which hosts are asked that answered, and those that did not. */
const heardMilliseconds = 300_000;
const silentMilliseconds = 60_000;
/** Silence after which a host counts as gone, and the attempts that it takes beside: this process may have been frozen. */
const goneMilliseconds = 600_000;
const goneAttempts = 8;
/** From this attempt on, others are asked. */
const askedAttempts = 3;

type Known = { revision: number; dueAt: number; silentSince: number | undefined; attempts: number };

/** Creates an empty record. All times are monotonic milliseconds. */
export const createHostSilence = (): HostSilence => {
    const hosts = new Map<string, Known>();

    return {
        due: (listed, now) => {
            const names = new Set(listed.map(({ name }) => name));
            [...hosts.keys()].filter(name => !names.has(name)).forEach(name => hosts.delete(name));
            listed.forEach(({ name, revision }, index) => {
                const known = hosts.get(name);
                if (known === undefined) {
                    // Spread over the interval.
                    const dueAt = now + heardMilliseconds * index / listed.length;
                    hosts.set(name, { revision, dueAt, silentSince: undefined, attempts: 0 });
                }
                else if (known.revision !== revision) {
                    hosts.set(name, { revision, dueAt: known.dueAt, silentSince: undefined, attempts: 0 });
                }
            });
            const [first] = [...hosts].sort(([, left], [, right]) => left.dueAt - right.dueAt);
            return first !== undefined && first[1].dueAt <= now ? first[0] : undefined;
        },
        recordHeard: (name, now) => {
            const known = hosts.get(name);
            if (known !== undefined) {
                hosts.set(name, {
                    ...known,
                    dueAt: now + heardMilliseconds,
                    silentSince: undefined,
                    attempts: 0,
                });
            }
        },
        recordSilent: (name, revision, now) => {
            const known = hosts.get(name);
            if (known?.revision === revision) {
                hosts.set(name, {
                    revision,
                    dueAt: now + silentMilliseconds,
                    silentSince: known.silentSince ?? now,
                    attempts: known.attempts + 1,
                });
            }
        },
        silence: (name, now) => {
            const known = hosts.get(name);
            return known?.silentSince === undefined
                ? undefined
                : { sinceMilliseconds: now - known.silentSince, attempts: known.attempts };
        },
        mayBeGone: name => (hosts.get(name)?.attempts ?? 0) >= askedAttempts,
        isGone: (name, now) => {
            const known = hosts.get(name);
            return known?.silentSince !== undefined && known.attempts >= goneAttempts
                && now - known.silentSince >= goneMilliseconds;
        },
    };
};
