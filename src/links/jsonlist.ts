/**
 * Reads parts of large JSON texts without parsing the whole. A parsed text takes up to twenty times its bytes in memory and
 * some 150 ms for each megabyte, even if all but a few fields of it are of no use.
 */
const codes = {
    quote: 34,
    comma: 44,
    colon: 58,
    openList: 91,
    backslash: 92,
    closeList: 93,
    open: 123,
    close: 125,
} as const;
const lastSpace = 32;

/** Texts up to this size are parsed as a whole, which is faster. */
const smallBytes = 16_384;

const malformed = (): SyntaxError => new SyntaxError("The text is not JSON.");

const skipSpace = (bytes: Buffer, from: number): number => {
    let at = from;
    while (at < bytes.length && bytes[at] <= lastSpace) {
        at += 1;
    }
    return at;
};

/** Returns the position after the string that begins at `from`. */
const skipString = (bytes: Buffer, from: number): number => {
    let end = bytes.indexOf(codes.quote, from + 1);
    while (end !== -1) {
        let first = end;
        while (bytes[first - 1] === codes.backslash) {
            first -= 1;
        }
        if ((end - first) % 2 === 0) {
            return end + 1;
        }
        end = bytes.indexOf(codes.quote, end + 1);
    }
    throw malformed();
};

/** Returns the position after the value that begins at `from`: that of the comma or bracket that follows it. */
const skipValue = (bytes: Buffer, from: number): number => {
    let depth = 0;
    let at = from;
    while (at < bytes.length) {
        const code = bytes[at];
        if (code === codes.quote) {
            at = skipString(bytes, at);
            continue;
        }
        if (depth === 0 && (code === codes.comma || code === codes.close || code === codes.closeList)) {
            return at;
        }
        if (code === codes.open || code === codes.openList) {
            depth += 1;
        }
        else if (code === codes.close || code === codes.closeList) {
            depth -= 1;
        }
        at += 1;
    }
    if (depth !== 0) {
        throw malformed();
    }
    return at;
};

/**
 * Calls `visit` with the start of each part between the brackets, which returns its end, and returns the position after
 * these. Ends early when `visit` returns nothing.
 */
const skipParts = (
    bytes: Buffer,
    from: number,
    close: number,
    visit: (start: number) => number | undefined,
): number => {
    let at = skipSpace(bytes, from + 1);
    if (bytes[at] === close) {
        return at + 1;
    }
    for (;;) {
        const end = visit(at);
        if (end === undefined) {
            return at;
        }
        at = skipSpace(bytes, end);
        if (bytes[at] === close) {
            return at + 1;
        }
        if (bytes[at] !== codes.comma) {
            throw malformed();
        }
        at = skipSpace(bytes, at + 1);
    }
};

/**
 * Returns the texts of the members that the names list. Undefined when the text is no object.
 *
 * @param untilFound whether what follows the last of them is not read.
 * @throws SyntaxError when the object is not JSON; what its values hold is not checked.
 */
export const readMembers = (
    bytes: Buffer,
    names: readonly string[],
    untilFound = false,
): Map<string, Buffer> | undefined => {
    const start = skipSpace(bytes, 0);
    if (bytes[start] !== codes.open) {
        return undefined;
    }
    const longest = Math.max(0, ...names.map(name => name.length));
    const members = new Map<string, Buffer>();
    skipParts(bytes, start, codes.close, from => {
        if (bytes[from] !== codes.quote) {
            throw malformed();
        }
        const nameEnd = skipString(bytes, from);
        const colon = skipSpace(bytes, nameEnd);
        if (bytes[colon] !== codes.colon) {
            throw malformed();
        }
        const valueStart = skipSpace(bytes, colon + 1);
        const end = skipValue(bytes, valueStart);
        const name = nameEnd - from - 2 <= longest ? bytes.toString("latin1", from + 1, nameEnd - 1) : "";
        if (names.includes(name)) {
            members.set(name, bytes.subarray(valueStart, end));
        }
        return untilFound && members.size === names.length ? undefined : end;
    });
    return members;
};

/** Returns the texts of the elements of a list. Undefined when the text is no list. */
const readElements = (bytes: Buffer): Buffer[] | undefined => {
    const start = skipSpace(bytes, 0);
    if (bytes[start] !== codes.openList) {
        return undefined;
    }
    const elements: Buffer[] = [];
    skipParts(bytes, start, codes.closeList, from => {
        const end = skipValue(bytes, from);
        elements.push(bytes.subarray(from, end));
        return end;
    });
    return elements;
};

export const parseJson = (bytes: Buffer): unknown => JSON.parse(bytes.toString("utf8")) as unknown;

export type ElementConversion = {
    convert: (element: unknown) => unknown;
    /** For the text of a large element. */
    convertLarge: (bytes: Buffer) => unknown;
};

/**
 * Parses the members that the names list of an object, and replaces each element of the list that is the member `field` by
 * what it is converted to. Undefined when the text is no object.
 *
 * @throws SyntaxError when the text is not JSON.
 */
export const parseWithList = (
    bytes: Buffer,
    field: string,
    names: readonly string[],
    { convert, convertLarge }: ElementConversion,
): Record<string, unknown> | undefined => {
    if (bytes.length <= smallBytes) {
        const parsed = parseJson(bytes);
        if (typeof parsed !== "object" || !Object.hasOwn(parsed ?? {}, field)) {
            return undefined;
        }
        const { [field]: list, ...others } = parsed as Record<string, unknown>;
        return { ...others, [field]: Array.isArray(list) ? list.map(convert) : undefined };
    }
    const members = readMembers(bytes, [field, ...names]);
    const list = members?.get(field);
    if (members === undefined || list === undefined) {
        return undefined;
    }
    const elements = readElements(list)?.map(element =>
        element.length <= smallBytes ? convert(parseJson(element)) : convertLarge(element)
    );
    const others = names.flatMap(name => {
        const value = members.get(name);
        return value === undefined || value.length > smallBytes ? [] : [[name, parseJson(value)]];
    });
    return { ...Object.fromEntries(others), [field]: elements };
};
