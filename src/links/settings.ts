/**
 * Reads the settings of an entry host from a YAML file and checks them against their schema. All findings are reported
 * together, each with its place in the file. Also reads the secret files that the settings name.
 */
import { readFile } from "node:fs/promises";
import { dirname, resolve } from "node:path";
import { InputError, messageOf } from "../contracts/errors.ts";
import { describeFinding } from "../contracts/finding.ts";
import { type Settings, settingsSchema } from "../contracts/settings.ts";
import { checkYaml } from "./yaml.ts";

/** Reads a settings file, or throws an `InputError` that lists every finding. */
export const readSettings = async (file: string): Promise<Settings> => {
    const text = await readFile(file, "utf8").catch((error: unknown) => {
        throw new InputError(`The settings file "${file}" is not readable: ${messageOf(error)}.`);
    });
    const { value, findings } = checkYaml(file, text, settingsSchema);
    if (value === undefined) {
        throw new InputError(findings.map(describeFinding).join("\n"));
    }
    return value;
};

/**
 * Reads a secret, without surrounding white space. A relative path is resolved from the folder of the settings file.
 *
 * @throws `InputError` when the file is not readable or empty.
 */
export const readSecret = async (settingsFile: string, secretFile: string): Promise<Buffer> => {
    const path = resolve(dirname(settingsFile), secretFile);
    const text = await readFile(path, "utf8").catch((error: unknown) => {
        throw new InputError(`The secret file "${secretFile}" is not readable: ${messageOf(error)}.`);
    });
    const secret = text.trim();
    if (secret === "") {
        throw new InputError(`The secret file "${secretFile}" is empty.`);
    }
    return Buffer.from(secret);
};
