/**
 * Errors of the product. Each class stands for one way to act on it: the settings are wrong, the platform failed, a
 * conditional write met another version, a peer sent what it must not.
 */
import ModernError from "modern-errors";

export const CarobpierError = ModernError.subclass("CarobpierError");

/** The settings or the command's arguments are wrong. */
export const InputError = CarobpierError.subclass("InputError");

/** The platform did not answer, or answered with a failure. The write may have taken effect. */
export const PlatformError = CarobpierError.subclass("PlatformError");

/** A link between hosts was closed or its message was refused. */
export const PeerError = CarobpierError.subclass("PeerError");

/** A conditional write met a version other than the expected one, and nothing was written. */
export const ConflictError = CarobpierError.subclass("ConflictError");

/** The message of any thrown value. */
export const messageOf = (error: unknown): string => error instanceof Error ? error.message : String(error);
