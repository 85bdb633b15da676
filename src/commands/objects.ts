/**
 * `carobpier plan|allowance|pool ...`: the commands with which operators edit plans, allowances and pools. The three
 * families have the same commands, which are built for each kind.
 */
import { Args, type Command, Flags } from "@oclif/core";
import { readFile } from "node:fs/promises";
import { parse } from "yaml";
import { InputError, messageOf } from "../contracts/errors.ts";
import type { Edit } from "../decisions/edits.ts";
import { exitCodes } from "./exitcodes.ts";
import {
    applyDocuments,
    deleteObject,
    diffDocuments,
    type EditableKind,
    editObject,
    formatDocument,
    listObjects,
    type ObjectDocument,
    type ObjectWriteResult,
    parseDocuments,
    showObject,
} from "./objectoperations.ts";
import { OperatorCommand, platformFlags, waitFlags } from "./operator.ts";
import { formatRows } from "./rows.ts";

/** The commands for one kind of object. The examples appear in the help. */
type CommandFamily = { topic: string; kind: EditableKind; example: string; editExample: string };

const families: CommandFamily[] = [
    { topic: "plan", kind: "plans", example: "hallam", editExample: "--set rate.perSecond=200" },
    { topic: "allowance", kind: "allowances", example: "hallam", editExample: "--add 'uses={pool: archive}'" },
    { topic: "pool", kind: "pools", example: "orders", editExample: "--set 'targets[0].speed=2'" },
];

const jsonFlag = { enableJsonFlag: true };
const nameArgument = { name: Args.string({ required: true, description: "Name of the object." }) };
const fileFlag = {
    file: Flags.string({ char: "f", required: true, summary: "YAML file with one document per object." }),
};
const versionFlag = {
    version: Flags.integer({
        min: 1,
        summary: "Version that the object must still have; the current one when left out.",
    }),
};

const readFileDocuments = async (kind: EditableKind, file: string): Promise<ObjectDocument[]> => {
    const text = await readFile(file, "utf8").catch((error: unknown) => {
        throw new InputError(`The file "${file}" is not readable: ${messageOf(error)}.`);
    });
    return parseDocuments(kind, file, text);
};

/** Parses `path=value` with the value as YAML. Only `remove` may leave out `=value`; the value is `undefined` then. */
const parseEdit = (action: Edit["action"], text: string): Edit => {
    const end = text.indexOf("=");
    if (end === -1 && action !== "remove") {
        throw new InputError(`--${action} ${text}: expected path=value, found no "=".`);
    }
    return end === -1
        ? { action, path: text, value: undefined }
        : { action, path: text.slice(0, end), value: parse(text.slice(end + 1)) as unknown };
};

const listCommand = ({ topic, kind }: CommandFamily): typeof Command =>
    class extends OperatorCommand {
        static override summary = `List ${kind}.`;
        static override examples = [`<%= config.bin %> ${topic} list --settings hallam.yaml`];
        static override flags = platformFlags;

        override async run(): Promise<object> {
            const { flags } = await this.parse({ ...jsonFlag, flags: platformFlags });
            return this.withPlatform(flags, async platform => {
                const items = await listObjects(this.operationOptions(kind, platform));
                const rows = items.map(({ name, version }) => ({ name, version }));
                formatRows(rows, process.stdout.isTTY).forEach(line => this.log(line));
                return { items };
            });
        }
    };

const showCommand = ({ topic, kind, example }: CommandFamily): typeof Command =>
    class extends OperatorCommand {
        static override summary = `Show one of the ${kind} as a file that apply accepts.`;
        static override examples = [`<%= config.bin %> ${topic} show ${example} > ${example}.yaml`];
        static override flags = platformFlags;
        static override args = nameArgument;

        override async run(): Promise<object> {
            const { args, flags } = await this.parse({ ...jsonFlag, flags: platformFlags, args: nameArgument });
            return this.withPlatform(flags, async platform => {
                const item = await showObject(this.operationOptions(kind, platform), args.name);
                this.log(formatDocument(item).trimEnd());
                return item;
            });
        }
    };

const diffCommand = ({ topic, kind, example }: CommandFamily): typeof Command =>
    class extends OperatorCommand {
        static override summary =
            `Show what applying a file would change. Exits ${exitCodes.findings} if there is a change.`;
        static override examples = [`<%= config.bin %> ${topic} diff -f ${example}.yaml`];
        static override flags = { ...platformFlags, ...fileFlag };

        override async run(): Promise<object> {
            const { flags } = await this.parse({ ...jsonFlag, flags: { ...platformFlags, ...fileFlag } });
            const documents = await readFileDocuments(kind, flags.file);
            return this.withPlatform(flags, async platform => {
                const lines = await diffDocuments(this.operationOptions(kind, platform), documents);
                lines.forEach(line => this.log(line));
                process.exitCode = lines.length > 0 ? exitCodes.findings : exitCodes.done;
                return { lines };
            });
        }
    };

const applyFlags = {
    ...platformFlags,
    ...fileFlag,
    ...waitFlags,
    replace: Flags.boolean({ summary: "Overwrite the current version, whichever version the file was made from." }),
};

const applyCommand = ({ topic, kind, example }: CommandFamily): typeof Command =>
    class extends OperatorCommand {
        static override summary = `Create or change ${kind} as a file describes them.`;
        static override description =
            "A document with `version` is written only if the object has that version. Exit codes: 0 done, 2 findings "
            + "in the file, 3 another operator wrote first, 4 no answer from the platform, 5 not in force in time.";
        static override examples = [
            `<%= config.bin %> ${topic} apply -f ${example}.yaml`,
            `<%= config.bin %> ${topic} apply -f ${example}.yaml --wait --timeout 30`,
        ];
        static override flags = applyFlags;

        override async run(): Promise<object> {
            const { flags } = await this.parse({ ...jsonFlag, flags: applyFlags });
            const documents = await readFileDocuments(kind, flags.file);
            return this.withPlatform(flags, async platform => {
                const options = this.operationOptions(kind, platform);
                const written = await applyDocuments(options, documents, { replace: flags.replace });
                const findings = await this.printReferenceFindings(platform);
                const waits: object[] = [];
                for (const { place, version } of written) {
                    waits.push(await this.waitIfRequested(platform, flags, place, version));
                }
                return { written, findings, waits };
            });
        }
    };

const editFlags = {
    ...platformFlags,
    ...waitFlags,
    ...versionFlag,
    set: Flags.string({ multiple: true, summary: "path=value: set a field.", multipleNonGreedy: true }),
    add: Flags.string({ multiple: true, summary: "path=value: add to a list.", multipleNonGreedy: true }),
    remove: Flags.string({
        multiple: true,
        summary: "path or path=value: remove a field, or an entry of a list.",
        multipleNonGreedy: true,
    }),
};

const editCommand = ({ topic, kind, example, editExample }: CommandFamily): typeof Command =>
    class extends OperatorCommand {
        static override summary = `Change fields of one of the ${kind}.`;
        static override examples = [`<%= config.bin %> ${topic} edit ${example} ${editExample} --wait`];
        static override flags = editFlags;
        static override args = nameArgument;

        override async run(): Promise<object> {
            const { args, flags } = await this.parse({ ...jsonFlag, flags: editFlags, args: nameArgument });
            const edits = [
                ...(flags.set ?? []).map(text => parseEdit("set", text)),
                ...(flags.add ?? []).map(text => parseEdit("add", text)),
                ...(flags.remove ?? []).map(text => parseEdit("remove", text)),
            ];
            if (edits.length === 0) {
                throw new InputError("There is nothing to change: pass --set, --add or --remove.");
            }
            return this.withPlatform(flags, async platform => {
                const options = this.operationOptions(kind, platform);
                const written = await editObject(options, args.name, edits, flags.version);
                const findings = await this.printReferenceFindings(platform);
                return {
                    written,
                    findings,
                    ...await this.waitIfRequested(platform, flags, written.place, written.version),
                };
            });
        }
    };

const deleteFlags = { ...platformFlags, ...waitFlags, ...versionFlag };

const deleteCommand = ({ topic, kind, example }: CommandFamily): typeof Command =>
    class extends OperatorCommand {
        static override summary =
            `Delete one of the ${kind}. Its version is kept, so that no host returns to the object.`;
        static override examples = [`<%= config.bin %> ${topic} delete ${example} --wait`];
        static override flags = deleteFlags;
        static override args = nameArgument;

        override async run(): Promise<object> {
            const { args, flags } = await this.parse({ ...jsonFlag, flags: deleteFlags, args: nameArgument });
            return this.withPlatform(flags, async platform => {
                const written: ObjectWriteResult = await deleteObject(
                    this.operationOptions(kind, platform),
                    args.name,
                    flags.version,
                );
                return { written, ...await this.waitIfRequested(platform, flags, written.place, written.version) };
            });
        }
    };

const commandsOf = (family: CommandFamily): Array<[string, typeof Command]> => [
    [`${family.topic}:list`, listCommand(family)],
    [`${family.topic}:show`, showCommand(family)],
    [`${family.topic}:diff`, diffCommand(family)],
    [`${family.topic}:apply`, applyCommand(family)],
    [`${family.topic}:edit`, editCommand(family)],
    [`${family.topic}:delete`, deleteCommand(family)],
];

/** The commands of the three families by their id. */
export const objectCommands: Record<string, typeof Command> = Object.fromEntries(families.flatMap(commandsOf));
