/**
 * Failures of a start. A process ends by itself only where a new process may do better: while it waits, the system, another
 * process or an operator can mend what a restart would find the same.
 */

/** Names of the log lines, by the code of the error at which an address is waited for. */
export const addressWaitEvents: Readonly<Record<string, string>> = {
    EADDRINUSE: "address-in-use",
    EADDRNOTAVAIL: "address-not-there-yet",
    EMFILE: "start-short-of-resources",
    ENFILE: "start-short-of-resources",
    ENOBUFS: "start-short-of-resources",
    ENOMEM: "start-short-of-resources",
};

/** Of all other codes: the address is not allowed, or not one of this machine's kind. The settings can be corrected. */
const otherWaitEvent = "address-refused";

/** Returns the code of an error of the system or of Node, or undefined for any other value. */
export const codeOf = (error: unknown): string | undefined => {
    const code: unknown = error instanceof Error && "code" in error ? error.code : undefined;
    return typeof code === "string" ? code : undefined;
};

/**
 * Returns the name of the log line about an address that could not be opened, or undefined when the process is to end: an
 * error without a code is a fault of the program, whose state is not known then.
 */
export const addressWaitEventOf = (error: unknown): string | undefined => {
    const code = codeOf(error);
    return code === undefined ? undefined : addressWaitEvents[code] ?? otherWaitEvent;
};

/** Whether something could not be opened for want of descriptors or memory, which tells nothing of it. */
export const isShortage = (error: unknown): boolean =>
    addressWaitEvents[codeOf(error) ?? ""] === "start-short-of-resources";

/** A wait that goes on is told again after this time. */
const noticePeriodMilliseconds = 30_000;
const maxNoticesPerPeriod = 8;

export type WaitNotices = {
    /** Whether the wait is told now, given what it is for. */
    isDue: (cause: string, now: number) => boolean;
};

/** Each cause of a wait is told once in a period, and only so many causes, since a file may change all the time. */
export const createWaitNotices = (): WaitNotices => {
    const told = new Set<string>();
    let periodEndsAt = -Infinity;
    return {
        isDue: (cause, now) => {
            if (now >= periodEndsAt) {
                told.clear();
                periodEndsAt = now + noticePeriodMilliseconds;
            }
            if (told.has(cause) || told.size >= maxNoticesPerPeriod) {
                return false;
            }
            told.add(cause);
            return true;
        },
    };
};
