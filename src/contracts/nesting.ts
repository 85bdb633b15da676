/**
 * Depth of values that others wrote. Functions that call themselves for each level, such as those that encode a value,
 * end with an exception at some thousand levels.
 */

/** Deepest nesting of a value that is taken in. */
export const maxNesting = 64;

/** Whether lists and objects of the value are nested within each other beyond the limit. */
export const isTooDeep = (value: unknown, levels = maxNesting): boolean => {
    if (typeof value !== "object") {
        return false;
    }
    const parts = Object.values(value ?? {});
    return parts.length > 0 && (levels === 0 || parts.some(part => isTooDeep(part, levels - 1)));
};
