/**
 * Isolation: until when a host may admit requests by the objects that it holds. The deadline is extended by the
 * platform's answer, by what is left of another host's deadline, or, while the platform is out, by having heard a
 * majority of the hosts. Every extension counts from the sending of the question. Because two majorities share a host,
 * no host still admits by an older object `isolationMilliseconds` after a majority has a newer one in force. A host
 * admits only after it has announced itself and has then been confirmed, so that whoever reads the announcements after
 * a write knows every host that may still hold what was before it.
 */

/** Why a host does not admit; undefined while it does. */
export type AdmissionBlock = "starting" | "paused" | "isolated" | "replaced";

export type IsolationOptions = {
    /** How long one confirmation lasts. */
    isolationMilliseconds: number;
    /** A turn of the process that comes later than this after the one before counts as a pause. */
    pauseMilliseconds: number;
};

export type Isolation = {
    /** Notes a confirmation: at the sending, nothing newer than what the host now holds existed. */
    confirm: (sentAt: number, forMilliseconds: number) => void;
    /** Notes that a host answered a question sent then, and that all it holds is held here too. */
    noteAnswer: (host: string, sentAt: number) => void;
    /** Extends the deadline when a majority of the hosts, this one included, has been heard. */
    extendByMajority: (hosts: readonly string[], self: string, now: number) => void;
    /** Notes that the platform keeps the host's announcement; only confirmations asked for later count. */
    noteAnnounced: (now: number) => void;
    /** Notes that the platform keeps the announcement no more. */
    noteAnnouncementRemoved: () => void;
    /** Notes a turn of the process, so that a pause is noticed. */
    tick: (now: number) => void;
    /** Bars this host for good: another process has taken its name. */
    noteReplaced: () => void;
    admissionBlock: (now: number) => AdmissionBlock | undefined;
    /** Whether the host has been confirmed since it announced itself, so that what it holds counts for others. */
    isConfirmed: () => boolean;
    /** When the platform was first known to keep the host's announcement; undefined while it is not. */
    announcedAt: () => number | undefined;
    /** Milliseconds until the host stops admitting; 0 when it does not admit. */
    remaining: (now: number) => number;
};

/** Creates the record of one host. Times are monotonic milliseconds. */
export const createIsolation = (options: IsolationOptions): Isolation => {
    const heardAt = new Map<string, number>();
    let confirmedUntil: number | undefined;
    let lastTurnAt: number | undefined;
    let resumedAt: number | undefined;
    let announcedAt: number | undefined;
    let replaced = false;

    const turn = (now: number): void => {
        if (lastTurnAt !== undefined && now - lastTurnAt > options.pauseMilliseconds) {
            resumedAt = now;
        }
        lastTurnAt = now;
    };

    const confirm = (sentAt: number, forMilliseconds: number): void => {
        const tooOld = resumedAt !== undefined && sentAt < resumedAt;
        if (announcedAt === undefined || tooOld || forMilliseconds <= 0) {
            return;
        }
        resumedAt = undefined;
        confirmedUntil = Math.max(confirmedUntil ?? 0, sentAt + forMilliseconds);
    };

    const bar = (now: number): AdmissionBlock | undefined => {
        turn(now);
        if (replaced) {
            return "replaced";
        }
        if (confirmedUntil === undefined) {
            return "starting";
        }
        if (resumedAt !== undefined) {
            return "paused";
        }
        return now < confirmedUntil ? undefined : "isolated";
    };

    return {
        confirm,
        noteAnswer: (host, sentAt) => {
            heardAt.set(host, Math.max(heardAt.get(host) ?? 0, sentAt));
        },
        extendByMajority: (hosts, self, now) => {
            const others = hosts.filter(host => host !== self);
            const needed = Math.floor(hosts.length / 2) + 1 - (hosts.includes(self) ? 1 : 0);
            const times = others.map(host => heardAt.get(host) ?? -Infinity).sort((left, right) => right - left);
            const oldest = times[Math.max(1, needed) - 1];
            if (confirmedUntil !== undefined && oldest !== undefined && Number.isFinite(oldest) && oldest <= now) {
                confirm(oldest, options.isolationMilliseconds);
            }
        },
        noteAnnounced: now => {
            announcedAt ??= now;
            resumedAt = now;
        },
        noteAnnouncementRemoved: () => {
            announcedAt = undefined;
            confirmedUntil = undefined;
        },
        tick: turn,
        noteReplaced: () => {
            replaced = true;
        },
        admissionBlock: bar,
        announcedAt: () => announcedAt,
        isConfirmed: () => announcedAt !== undefined && !replaced && confirmedUntil !== undefined,
        remaining: now => bar(now) === undefined ? Math.max(0, (confirmedUntil ?? now) - now) : 0,
    };
};
