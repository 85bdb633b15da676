/**
 * Exit codes of the program, the same for every command.
 */
import { ConflictError, InputError, PlatformError } from "../contracts/errors.ts";

export const exitCodes = {
    done: 0,
    /** Files or objects have findings, or a file differs. Also the code of unexpected failures. */
    findings: 1,
    /** The arguments or the settings are wrong. */
    input: 2,
    /**
     * Another write came first, or the object exists and the file does not name the version that it replaces. The
     * message says whether this write may have taken effect.
     */
    conflict: 3,
    /** The platform did not answer; the message says whether the write may have taken effect. */
    platform: 4,
    /** The write was accepted but was not in force on every host in time. */
    notInForce: 5,
} as const;

/** The exit code for an error that ends a command. */
export const exitCodeOf = (error: unknown): number => {
    if (error instanceof ConflictError) {
        return exitCodes.conflict;
    }
    if (error instanceof PlatformError) {
        return exitCodes.platform;
    }
    return error instanceof InputError ? exitCodes.input : exitCodes.findings;
};
