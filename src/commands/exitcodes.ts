/**
 * Exit codes of the program, the same for every command.
 */
import { ConflictError, InputError, PlatformError } from "../contracts/errors.ts";

export const exitCodes = {
    done: 0,
    /** Files or objects have findings. Also the code of unexpected failures. */
    findings: 1,
    /** The arguments or the settings are wrong. */
    input: 2,
    /** Another write came first; nothing was written. */
    conflict: 3,
    /** The platform did not answer; the message says whether something may have been written. */
    platform: 4,
    /** The write was accepted but was not in force everywhere in time. */
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
