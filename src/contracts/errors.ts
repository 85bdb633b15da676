/**
 * Error classes, one for each way in which the catcher has to react: the settings are wrong, the platform failed, a
 * conditional write found another version, or a peer sent an invalid message.
 */
import ModernError from "modern-errors";

/** Base class of all errors that this program throws itself. */
export const CarobpierError = ModernError.subclass("CarobpierError");

/** The settings or the arguments of the command are invalid. */
export const InputError = CarobpierError.subclass("InputError");

/** The platform did not answer, or answered with an error. A write may still have taken effect. */
export const PlatformError = CarobpierError.subclass("PlatformError");

/** A link between hosts was closed, or a message on it was refused. */
export const PeerError = CarobpierError.subclass("PeerError");

/** A conditional write found another version than expected; nothing was written. */
export const ConflictError = CarobpierError.subclass("ConflictError");

/** Returns the message of any thrown value. */
export const messageOf = (error: unknown): string => error instanceof Error ? error.message : String(error);
