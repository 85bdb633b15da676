/**
 * Decides until when a host may admit requests by the objects (plans, pools and so on) that it holds. The deadline is
 * extended by an answer of the platform, by the time for which another host may still admit, or, while the platform is
 * unreachable, by answers from a majority of the hosts. Every extension counts from the sending of the question.
 *
 * Once a majority has a newer object in force, every host stops admitting by the older one within
 * `isolationMilliseconds`, since any two majorities share a host. A host admits only after its announcement is on the
 * platform and a later question was confirmed, so whoever reads the announcements after a write sees every host that
 * may still use the version before it.
 */

/** Reason why a host does not admit requests. */
export type AdmissionBlock =
    /** The host has not been confirmed since it announced itself, or is not announced. */
    | "starting"
    /** The process was paused, or the host announced itself again, and it has not been confirmed since. */
    | "paused"
    /** The last confirmation has expired. */
    | "isolated"
    /** Another process has taken the host's name. */
    | "replaced";

export type IsolationOptions = {
    /** Time for which one confirmation is valid. */
    isolationMilliseconds: number;
    /** Time between two ticks above which the process counts as having been paused. */
    pauseMilliseconds: number;
};

export type Isolation = {
    /**
     * Records a confirmation: this host now holds everything that the platform or another host held when asked at
     * `sentAt`, and may admit for `forMilliseconds` from then. Ignored while the host is not announced, when
     * `forMilliseconds` is not positive, and when the host was paused or announced itself after `sentAt` and has not
     * been confirmed since.
     */
    confirm: (sentAt: number, forMilliseconds: number) => void;
    /** Records that a host answered a question sent at `sentAt`, and that this host holds everything that it holds. */
    noteAnswer: (host: string, sentAt: number) => void;
    /**
     * Extends the deadline when a majority of the hosts has answered. This host counts without an answer, but at least
     * one other must have answered. The extension counts from the oldest question whose answer the majority needs.
     * Nothing is extended before the platform or another host has confirmed this host.
     */
    extendByMajority: (hosts: readonly string[], self: string, now: number) => void;
    /** Records that the platform holds the host's announcement. Only confirmations of later questions count. */
    noteAnnounced: (now: number) => void;
    /** Records that the platform no longer holds the announcement. */
    noteAnnouncementRemoved: () => void;
    /** Records that the process is running; called at regular intervals, so that a pause is detected. */
    tick: (now: number) => void;
    /** Stops admission for good, because another process has taken the host's name. */
    noteReplaced: () => void;
    /** Returns why the host does not admit requests; undefined while it does. Each call also counts as a tick. */
    admissionBlock: (now: number) => AdmissionBlock | undefined;
    /** Returns whether the host was confirmed since its announcement, so that other hosts may rely on what it holds. */
    isConfirmed: () => boolean;
    /** Returns when the platform was first known to hold the host's announcement; undefined while it does not. */
    announcedAt: () => number | undefined;
    /**
     * Returns the milliseconds until the host stops admitting requests; 0 when it does not admit any. Each call also
     * counts as a tick.
     */
    remaining: (now: number) => number;
};

/** Creates the isolation state of one host. Times are in milliseconds on a monotonic clock. */
export const createIsolation = (options: IsolationOptions): Isolation => {
    const answeredQuestionSentAt = new Map<string, number>();
    let confirmedUntil: number | undefined;
    let lastTickAt: number | undefined;
    /**
     * Confirmations of questions sent before this time do not count: the host was paused or announced itself since.
     * Undefined once a later question was confirmed.
     */
    let ignoreQuestionsBefore: number | undefined;
    let announcedAt: number | undefined;
    let replaced = false;

    const tick = (now: number): void => {
        if (lastTickAt !== undefined && now - lastTickAt > options.pauseMilliseconds) {
            ignoreQuestionsBefore = now;
        }
        lastTickAt = now;
    };

    const confirm = (sentAt: number, forMilliseconds: number): void => {
        const sentTooEarly = ignoreQuestionsBefore !== undefined && sentAt < ignoreQuestionsBefore;
        if (announcedAt === undefined || sentTooEarly || forMilliseconds <= 0) {
            return;
        }
        ignoreQuestionsBefore = undefined;
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
        if (ignoreQuestionsBefore !== undefined) {
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
            const newestFirst = others.map(host => answeredQuestionSentAt.get(host) ?? -Infinity).sort((left, right) =>
                right - left
            );
            const majoritySentAt = newestFirst[Math.max(1, needed) - 1];
            if (
                confirmedUntil !== undefined && majoritySentAt !== undefined && Number.isFinite(majoritySentAt)
                && majoritySentAt <= now
            ) {
                confirm(majoritySentAt, options.isolationMilliseconds);
            }
        },
        noteAnnounced: now => {
            announcedAt ??= now;
            ignoreQuestionsBefore = now;
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
