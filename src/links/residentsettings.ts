/**
 * Reads the settings of a resident host from YAML. All findings are reported together, each with its place.
 */
import { readFileSync } from "node:fs";
import type { Clock } from "../contracts/clock.ts";
import { InputError, messageOf } from "../contracts/errors.ts";
import { describeFinding } from "../contracts/finding.ts";
import { type ResidentSettings, residentSettingsSchema } from "../contracts/residentsettings.ts";
import type { Log } from "./logs.ts";
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

export type SettingsWatch = {
    /** Reads the file now. */
    check: () => void;
};

export type SettingsWatchOptions = {
    file: string;
    settings: ResidentSettings;
    clock: Clock;
    log: Log;
    signal: AbortSignal;
};

/** A file may change without a signal, and nothing tells of it. */
const checkMilliseconds = 5_000;

const changedNames = (before: ResidentSettings, after: ResidentSettings): string[] => {
    const names = Object.keys(after) as Array<keyof ResidentSettings>;
    return names.filter(name => JSON.stringify(before[name]) !== JSON.stringify(after[name]));
};

/**
 * Reads the settings again when asked and every few seconds. A file that is not valid changes nothing; changed settings
 * are named in the log and are in force from the next start on.
 */
export const watchSettings = (options: SettingsWatchOptions): SettingsWatch => {
    const { file, clock, log, signal } = options;
    let current = options.settings;
    let refused = "";

    const check = (): void => {
        try {
            const next = readResidentSettings(file);
            const changed = changedNames(current, next);
            current = next;
            refused = "";
            if (changed.length > 0) {
                log.info("settings-read", { file, changed: changed.join(","), inForce: "at the next start" });
            }
        }
        catch (error) {
            const finding = messageOf(error);
            if (finding !== refused) {
                refused = finding;
                log.warn("settings-refused", { file, finding });
            }
        }
    };

    const run = async (): Promise<void> => {
        while (!signal.aborted) {
            await clock.sleep(checkMilliseconds, signal);
            if (!signal.aborted) {
                check();
            }
        }
    };
    void run();

    return {
        check: () => {
            log.info("settings-asked", { file });
            check();
        },
    };
};
