/**
 * Operations on the objects that operators edit (plans, allowances and pools): read, compare, apply, edit and delete.
 * Every write is conditional on the version that the operator saw, so that the second of two operators overwrites
 * nothing and is shown the change of the first.
 */
import { stringify } from "yaml";
import { z } from "zod";
import type { Clock } from "../contracts/clock.ts";
import { ConflictError, InputError } from "../contracts/errors.ts";
import { describeFinding, type Finding, findingsOf } from "../contracts/finding.ts";
import { type ObjectKind, objectSchemas, type StoredObject } from "../contracts/objects.ts";
import type { Allowance, Plan } from "../contracts/plan.ts";
import type { Pool } from "../contracts/pool.ts";
import { describeDifference } from "../decisions/difference.ts";
import { applyEdits, type Edit } from "../decisions/edits.ts";
import { referenceFindings } from "../decisions/references.ts";
import type { PlatformLink } from "../links/platform.ts";
import { writeObject } from "../links/writes.ts";
import { checkYamlDocuments } from "../links/yaml.ts";

/** Kinds of objects that operators edit. */
export type EditableKind = "plans" | "allowances" | "pools";

export type ObjectOperationOptions = {
    kind: EditableKind;
    platform: PlatformLink;
    clock: Clock;
    /** Writes one line for the operator. */
    write: (line: string) => void;
    /** Creates the write ids; random ids when left out. */
    writeId?: () => string;
};

/** An object as a file describes it. `version` is the version from which the file was made, if the file has one. */
export type ObjectDocument = { name: string; version: number | undefined; value: unknown };

/** Result of writing one object. */
export type ObjectWriteResult = { place: string; version: number; changed: boolean; replyLost: boolean };

export type ApplyOptions = {
    /** Overwrites the current version, whichever version the file was made from. */
    replace: boolean;
};

const nameSchema = z.string().regex(
    /^[a-z0-9][a-z0-9.-]{0,62}$/,
    "a name of lower-case letters, digits, dots, hyphens",
);

const documentSchemas = {
    plans: objectSchemas.plans.extend({ name: nameSchema, version: z.int().min(1).optional() }),
    allowances: objectSchemas.allowances.extend({ name: nameSchema, version: z.int().min(1).optional() }),
    pools: objectSchemas.pools.extend({ name: nameSchema, version: z.int().min(1).optional() }),
} as const;

/**
 * Parses the documents of a YAML file.
 *
 * @throws `InputError` that lists every finding.
 */
export const parseDocuments = (kind: EditableKind, source: string, text: string): ObjectDocument[] => {
    const checked = checkYamlDocuments<{ name: string; version?: number }>(source, text, documentSchemas[kind]);
    const findings = checked.flatMap(document => document.findings);
    if (findings.length > 0) {
        throw new InputError(findings.map(describeFinding).join("\n"));
    }
    return checked.flatMap(({ value: document }) => {
        if (document === undefined) {
            return [];
        }
        const { name, version, ...value } = document;
        return [{ name, version, value }];
    });
};

/** Formats an object as a YAML document that `apply` accepts. */
export const formatDocument = (item: StoredObject): string =>
    stringify({ name: item.name, version: item.version, ...item.value as object });

/** Lists the objects of the kind by name, without tombstones. */
export const listObjects = async (options: ObjectOperationOptions): Promise<StoredObject[]> => {
    const page = await options.platform.list(0);
    return page.items
        .filter(item => item.kind === options.kind && !item.deleted)
        .sort((left, right) => (left.name < right.name ? -1 : 1));
};

/** The object, which may be a tombstone, or `undefined` when there is none. */
const readObject = async (options: ObjectOperationOptions, name: string): Promise<StoredObject | undefined> =>
    options.platform.get(options.kind, name);

/** The object; throws an `InputError` when there is none or only a tombstone. */
const requireObject = async (options: ObjectOperationOptions, name: string): Promise<StoredObject> => {
    const item = await readObject(options, name);
    if (item === undefined || item.deleted) {
        throw new InputError(`${options.kind}/${name} does not exist.`);
    }
    return item;
};

/** Reads one object; throws an `InputError` when it does not exist. */
export const showObject = requireObject;

/** The value for comparisons; a missing or deleted object compares as an empty one. */
const valueOf = (item: StoredObject | undefined): unknown => item === undefined || item.deleted ? {} : item.value;

/** Lines that describe what applying the documents would change; none when nothing would change. */
export const diffDocuments = async (
    options: ObjectOperationOptions,
    documents: ObjectDocument[],
): Promise<string[]> => {
    const lines: string[] = [];
    for (const { name, value } of documents) {
        const item = await readObject(options, name);
        const difference = describeDifference(valueOf(item), value);
        if (difference.length > 0) {
            const version = item === undefined || item.deleted ? "new" : `version ${item.version}`;
            lines.push(`${options.kind}/${name} (${version}):`, ...difference.map(line => `  ${line}`));
        }
    }
    return lines;
};

/** A write and the object on which it is based. */
type Attempt = { name: string; value: unknown; ifVersion: number; deleted?: boolean; former: StoredObject | undefined };

const conflictMessage = (
    place: string,
    attempt: Attempt,
    current: StoredObject | undefined,
    mayHaveWritten: boolean,
): string => {
    const theirs = current === undefined ? "nothing" : `version ${current.version}`;
    const intended = attempt.deleted === true ? {} : attempt.value;
    const lines = [
        `${place} was written by another operator: it stands at ${theirs}, not at version ${attempt.ifVersion}. `
        + (mayHaveWritten
            ? "The reply to this write was lost, and it may have taken effect before the other one."
            : "Nothing was written."),
    ];
    if (attempt.former !== undefined && attempt.former.version === attempt.ifVersion) {
        lines.push("The other change:", ...describeDifference(valueOf(attempt.former), valueOf(current)).map(indent));
        lines.push("Your change:", ...describeDifference(valueOf(attempt.former), intended).map(indent));
    }
    if (attempt.deleted === true) {
        return [...lines, "What stands now:", ...fileLines(valueOf(current))].join("\n");
    }
    lines.push("From what stands to yours:", ...describeDifference(valueOf(current), intended).map(indent));
    lines.push("What stands now:", ...fileLines(valueOf(current)), "Yours:", ...fileLines(intended));
    return lines.join("\n");
};

const indent = (line: string): string => `  ${line}`;

const fileLines = (value: unknown): string[] => stringify(value).trimEnd().split("\n").map(indent);

const put = async (options: ObjectOperationOptions, attempt: Attempt): Promise<ObjectWriteResult> => {
    const place = `${options.kind}/${attempt.name}`;
    const { name, value, ifVersion, deleted } = attempt;
    const request = { kind: options.kind as ObjectKind, name, value, ifVersion, deleted, writeId: options.writeId?.() };
    const result = await writeObject(request, { platform: options.platform, clock: options.clock });
    if (result.result === "conflict") {
        throw new ConflictError(conflictMessage(place, attempt, result.current, result.mayHaveWritten));
    }
    if (result.replyLost) {
        options.write(`The reply to the write of ${place} was lost; its write id shows that it took effect.`);
    }
    options.write(`${place} ${deleted === true ? "deleted" : "written"} at version ${result.version}.`);
    return { place, version: result.version, changed: true, replyLost: result.replyLost };
};

const applyOne = async (
    options: ObjectOperationOptions,
    document: ObjectDocument,
    { replace }: ApplyOptions,
): Promise<ObjectWriteResult> => {
    const { name, value } = document;
    const place = `${options.kind}/${name}`;
    const item = await readObject(options, name);
    const difference = describeDifference(valueOf(item), value);
    if (item !== undefined && !item.deleted && difference.length === 0) {
        options.write(`${place} already has this value at version ${item.version}.`);
        return { place, version: item.version, changed: false, replyLost: false };
    }
    const isNew = item === undefined || item.deleted;
    if (!isNew && document.version === undefined && !replace) {
        throw new ConflictError([
            `${place} exists at version ${item.version} and differs. Say which version the file was made from `
            + `(version: ${item.version}), or pass --replace. Nothing was written.`,
            ...difference.map(indent),
        ].join("\n"));
    }
    const ifVersion = replace || document.version === undefined ? item?.version ?? 0 : document.version;
    difference.forEach(line => options.write(indent(line)));
    return put(options, { name, value, ifVersion, former: item });
};

/**
 * Applies documents one by one.
 *
 * @throws `ConflictError` at the first conflict; documents that were written before it stay written.
 */
export const applyDocuments = async (
    options: ObjectOperationOptions,
    documents: ObjectDocument[],
    apply: ApplyOptions,
): Promise<ObjectWriteResult[]> => {
    const written: ObjectWriteResult[] = [];
    for (const document of documents) {
        written.push(await applyOne(options, document, apply));
    }
    return written;
};

/** Edits fields of one object. `ifVersion` is the version that the operator saw; the current one when left out. */
export const editObject = async (
    options: ObjectOperationOptions,
    name: string,
    edits: Edit[],
    ifVersion?: number,
): Promise<ObjectWriteResult> => {
    const item = await requireObject(options, name);
    const place = `${options.kind}/${name}`;
    const edited = applyEdits(place, item.value, edits);
    const checked = objectSchemas[options.kind].safeParse(edited.value);
    const findings: Finding[] = [
        ...edited.findings,
        ...checked.success ? [] : findingsOf(place, edited.value, checked.error),
    ];
    if (findings.length > 0) {
        throw new InputError([...findings.map(describeFinding), "Nothing was written."].join("\n"));
    }
    const difference = describeDifference(item.value, checked.data);
    if (difference.length === 0) {
        options.write(`${place} already has this value at version ${item.version}.`);
        return { place, version: item.version, changed: false, replyLost: false };
    }
    difference.forEach(line => options.write(indent(line)));
    return put(options, { name, value: checked.data, ifVersion: ifVersion ?? item.version, former: item });
};

/** Deletes one object. A tombstone with a version of its own remains. */
export const deleteObject = async (
    options: ObjectOperationOptions,
    name: string,
    ifVersion?: number,
): Promise<ObjectWriteResult> => {
    const item = await requireObject(options, name);
    const attempt = { name, value: {}, ifVersion: ifVersion ?? item.version, deleted: true, former: item };
    return put(options, attempt);
};

/** Findings in the stored plans, allowances and pools: invalid objects, and references to objects that do not exist. */
export const readReferenceFindings = async (platform: PlatformLink): Promise<Finding[]> => {
    const objects = {
        plans: new Map<string, Plan>(),
        allowances: new Map<string, Allowance>(),
        pools: new Map<string, Pool>(),
    };
    const findings: Finding[] = [];
    for (const item of (await platform.list(0)).items) {
        const known = objects[item.kind as EditableKind] as Map<string, unknown> | undefined;
        if (known === undefined || item.deleted) {
            continue;
        }
        const parsed = objectSchemas[item.kind].safeParse(item.value);
        if (parsed.success) {
            known.set(item.name, parsed.data);
        }
        else {
            findings.push(...findingsOf(`${item.kind}/${item.name}`, item.value, parsed.error));
        }
    }
    return [...findings, ...referenceFindings(objects)];
};
