/**
 * Durations as people write them: a number with its unit, `1500ms` or `2.5s`.
 */
import { z } from "zod";

const pattern = /^(\d+(?:\.\d+)?)(ms|s)$/;
const millisecondsPerSecond = 1_000;

/** Milliseconds of a duration; undefined when the text is none. */
export const parseDuration = (text: unknown): number | undefined => {
    const parts = typeof text === "string" ? text.match(pattern) ?? undefined : undefined;
    if (parts === undefined) {
        return undefined;
    }
    return parts[2] === "s" ? Number(parts[1]) * millisecondsPerSecond : Number(parts[1]);
};

/** Writes whole milliseconds. */
export const formatDuration = (milliseconds: number): string => `${Math.round(milliseconds)}ms`;

/** A duration in settings or objects, as milliseconds. */
export const durationSchema = z.string().transform((text, context) => {
    const milliseconds = parseDuration(text);
    if (milliseconds === undefined) {
        context.addIssue({ code: "custom", message: "a duration such as 1500ms or 2.5s" });
        return z.NEVER;
    }
    return milliseconds;
});
