/**
 * Reads the settings of a resident host from YAML. All findings are reported together, each with its place.
 */
import { readFileSync } from "node:fs";
import { InputError, messageOf } from "../contracts/errors.ts";
import { describeFinding } from "../contracts/finding.ts";
import { type ResidentSettings, residentSettingsSchema } from "../contracts/residentsettings.ts";
import { checkYaml } from "./yaml.ts";

const readText = (file: string): string => {
    try {
        return readFileSync(file, "utf8");
    }
    catch (error) {
        throw new InputError(`The settings file "${file}" is not readable: ${messageOf(error)}.`);
    }
};

/** Reads a settings file, or throws an `InputError` that lists every finding. */
export const readResidentSettings = (file: string): ResidentSettings => {
    const { value, findings } = checkYaml(file, readText(file), residentSettingsSchema);
    if (value === undefined) {
        throw new InputError(findings.map(describeFinding).join("\n"));
    }
    return value;
};
