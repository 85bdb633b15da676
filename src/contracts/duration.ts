/**
 * Durations in settings and stored objects: a number with its unit, such as `1500ms` or `2.5s`.
 */
import { z } from "zod";

const durationPattern = /^(\d+(?:\.\d+)?)(ms|s)$/;
const millisecondsPerSecond = 1_000;

/** Parses a duration to milliseconds. Returns undefined when the value is not a duration. */
export const parseDuration = (text: unknown): number | undefined => {
    const parts = typeof text === "string" ? text.match(durationPattern) ?? undefined : undefined;
    if (parts === undefined) {
        return undefined;
    }
    return parts[2] === "s" ? Number(parts[1]) * millisecondsPerSecond : Number(parts[1]);
};

/** Formats a duration in milliseconds, rounded to a whole number: `1500ms`. */
export const formatDuration = (milliseconds: number): string => `${Math.round(milliseconds)}ms`;

/** Accepts a duration as text and yields milliseconds. */
export const durationSchema = z.string().transform((text, context) => {
    const milliseconds = parseDuration(text);
    if (milliseconds === undefined) {
        context.addIssue({ code: "custom", message: "a duration such as 1500ms or 2.5s" });
        return z.NEVER;
    }
    return milliseconds;
});
