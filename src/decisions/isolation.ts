/**
 * Decides until when a host may admit requests by the objects (plans, pools and so on) that it holds. The deadline is
 * extended by an answer of the platform, by the time that another host has left, or, while the platform is unreachable,
 * by answers from a majority of the hosts. Every extension counts from the sending of the question.
 *
 * Since any two majorities share a host, no host still admits by an older object `isolationMilliseconds` after a
 * majority has a newer one in force. A host admits only after it has announced itself on the platform and has been
 * confirmed afterwards, so a reader of the announcements after a write knows every host that may still hold the version
 * before it.
 */

/** Reason why a host does not admit requests. */
export type AdmissionBlock = "starting" | "paused" | "isolated" | "replaced";

export type IsolationOptions = {
    /** Time for which one confirmation is valid. */
    isolationMilliseconds: number;
    /** Time between two ticks above which the process counts as paused. */
    pauseMilliseconds: number;
};

export type Isolation = {
    /** Records a confirmation: when the question was sent, nothing newer than what the host now holds existed. */
    confirm: (sentAt: number, forMilliseconds: number) => void;
    /** Records that a host answered a question sent at `sentAt`, and that this host holds everything that it holds. */
    noteAnswer: (host: string, sentAt: number) => void;
    /** Extends the deadline when a majority of the hosts, including this one, has answered. */
    extendByMajority: (hosts: readonly string[], self: string, now: number) => void;
    /** Records that the platform holds the host's announcement. Only confirmations of later questions count. */
    noteAnnounced: (now: number) => void;
    /** Records that the platform no longer holds the announcement. */
    noteAnnouncementRemoved: () => void;
    /** Records that the process is running; called at regular intervals, so that a pause is detected. */
    tick: (now: number) => void;
    /** Stops admission for good, because another process has taken the host's name. */
    noteReplaced: () => void;
    /** Returns why the host does not admit requests; undefined while it does. */
    admissionBlock: (now: number) => AdmissionBlock | undefined;
    /** Returns whether the host was confirmed since its announcement, so that other hosts may rely on what it holds. */
    isConfirmed: () => boolean;
    /** Returns when the platform was first known to hold the host's announcement; undefined while it does not. */
    announcedAt: () => number | undefined;
    /** Returns the milliseconds until the host stops admitting requests; 0 when it does not admit any. */
    remaining: (now: number) => number;
};

/** Creates the isolation state of one host. Times are in milliseconds on a monotonic clock. */
export const createIsolation = (options: IsolationOptions): Isolation => {
    const answeredQuestionSentAt = new Map<string, number>();
    let confirmedUntil: number | undefined;
    let lastTickAt: number | undefined;
    let resumedAt: number | undefined;
    let announcedAt: number | undefined;
    let replaced = false;

    const tick = (now: number): void => {
        if (lastTickAt !== undefined && now - lastTickAt > options.pauseMilliseconds) {
            resumedAt = now;
        }
        lastTickAt = now;
    };

    const confirm = (sentAt: number, forMilliseconds: number): void => {
        const sentTooEarly = resumedAt !== undefined && sentAt < resumedAt;
        if (announcedAt === undefined || sentTooEarly || forMilliseconds <= 0) {
            return;
        }
        resumedAt = undefined;
        confirmedUntil = Math.max(confirmedUntil ?? 0, sentAt + forMilliseconds);
    };

    const admissionBlock = (now: number): AdmissionBlock | undefined => {
        tick(now);
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
            answeredQuestionSentAt.set(host, Math.max(answeredQuestionSentAt.get(host) ?? 0, sentAt));
        },
        extendByMajority: (hosts, self, now) => {
            const others = hosts.filter(host => host !== self);
            const needed = Math.floor(hosts.length / 2) + 1 - (hosts.includes(self) ? 1 : 0);
            const times = others.map(host => answeredQuestionSentAt.get(host) ?? -Infinity).sort((left, right) =>
                right - left
            );
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
        tick,
        noteReplaced: () => {
            replaced = true;
        },
        admissionBlock,
        announcedAt: () => announcedAt,
        isConfirmed: () => announcedAt !== undefined && !replaced && confirmedUntil !== undefined,
        remaining: now => admissionBlock(now) === undefined ? Math.max(0, (confirmedUntil ?? now) - now) : 0,
    };
};
