/**
 * Which failures of a start are waited for. A machine gets an address, its descriptors or its settings a moment after
 * its processes start; whatever a later attempt cannot mend ends the process at once.
 */

export type StartWait = {
    /** Name of the log line that tells of the wait. */
    event: string;
    /** `grace`: as long as a former process may take to end. `until-stopped`: a new process would find the same. */
    lasts: "grace" | "until-stopped";
};

const shortage: StartWait = { event: "start-short-of-resources", lasts: "until-stopped" };

/** By the code of the system's error. A code without a row ends the process. */
export const startWaits: Readonly<Record<string, StartWait>> = {
    EADDRINUSE: { event: "address-in-use", lasts: "grace" },
    EADDRNOTAVAIL: { event: "address-not-there-yet", lasts: "until-stopped" },
    EMFILE: shortage,
    ENFILE: shortage,
    ENOBUFS: shortage,
    ENOMEM: shortage,
};

/** Returns the code of a system's error, or undefined for any other value. */
export const codeOf = (error: unknown): string | undefined => {
    const code: unknown = error instanceof Error && "code" in error ? error.code : undefined;
    return typeof code === "string" ? code : undefined;
};

/** Returns how to wait after an error of a start, or undefined when the process is to end. */
export const startWaitOf = (error: unknown): StartWait | undefined => startWaits[codeOf(error) ?? ""];
