/**
 * Reads the settings of a resident host from a YAML file, and again while the host runs. All findings are reported
 * together, each with its place in the file.
 */
import { closeSync, constants, fstatSync, openSync, readFileSync, statSync } from "node:fs";
import type { Clock } from "../contracts/clock.ts";
import { InputError, messageOf } from "../contracts/errors.ts";
import { describeFinding } from "../contracts/finding.ts";
import { type ResidentSettings, residentSettingsSchema } from "../contracts/residentsettings.ts";
import { createWaitNotices, isShortage } from "../decisions/startwait.ts";
import type { Log } from "./logs.ts";
import { checkYaml } from "./yaml.ts";

/** Returns the text of a file, or throws. */
export type ReadFile = (file: string) => string;

/** Without a wait for data: one for the writer of a pipe would keep the process from all else, signals included. */
const readFileText: ReadFile = file => {
    const descriptor = openSync(file, constants.O_RDONLY | constants.O_NONBLOCK);
    try {
        if (!fstatSync(descriptor).isFile()) {
            throw new Error("it is no regular file");
        }
        return readFileSync(descriptor, "utf8");
    }
    finally {
        closeSync(descriptor);
    }
};

const readText = (file: string, readFile: ReadFile): string => {
    try {
        return readFile(file);
    }
    catch (error) {
        if (isShortage(error)) {
            throw error;
        }
        throw new InputError(`The settings file "${file}" is not readable: ${messageOf(error)}.`);
    }
};

/** The parser is recursive, and V8 ends the process when it has no stack left for a regular expression. */
const maxNesting = 200;

/** Returns an upper bound on how deep collections are nested: those that begin, and the widest indentation. */
const nestingBound = (text: string): number => {
    const collections = text.match(/[[{]|[-?][ \n]/g)?.length ?? 0;
    const indentation = (text.match(/^ +/gm) ?? []).reduce((widest, { length }) => Math.max(widest, length), 0);
    return collections + indentation;
};

/** A file that opens with the marker of a YAML document is complete only with that of the document's end. */
const isCut = (text: string): boolean => /^---\s/.test(text) && !/\n\.\.\.\s*$/.test(text);

/** Returns the settings in the text, or throws an `InputError` that lists every finding. */
const parseResidentSettings = (file: string, text: string): ResidentSettings => {
    if (nestingBound(text) > maxNesting) {
        throw new InputError(`The settings file "${file}" has more than ${maxNesting} nested collections.`);
    }
    if (isCut(text)) {
        throw new InputError(`The settings file "${file}" begins with "---" and does not end with "...".`);
    }
    const { value, findings } = checkYaml(file, text, residentSettingsSchema);
    if (value === undefined) {
        throw new InputError(findings.map(describeFinding).join("\n"));
    }
    return value;
};

/** Settings, and the text of the file that they are from. */
export type SettingsText = { settings: ResidentSettings; text: string };

/**
 * Reads a settings file, or throws an `InputError` that lists every finding. Throws the system's error when there is no
 * free descriptor.
 */
export const readResidentSettings = (file: string, readFile: ReadFile = readFileText): SettingsText => {
    const text = readText(file, readFile);
    return { settings: parseResidentSettings(file, text), text };
};

export type SettingsWaitOptions = {
    clock: Clock;
    /** Ends the wait. */
    signal: AbortSignal;
    /** Gets each new finding, and again while it lasts. */
    onWait?: (finding: string, afterMilliseconds: number) => void;
    read?: (file: string) => SettingsText;
    /** Returns the time since the file was written last. */
    ageOf?: (file: string) => number;
};

/** Pauses between the reads of a start: a file that is being replaced is soon complete, others take an operator. */
const startPauses = { firstMilliseconds: 100, factor: 1.5, maxMilliseconds: 1_000 };
/** A file that changed within this time may be half written, and valid all the same. */
const settleMilliseconds = 100;
/** A file that never settles is taken as it is after this time. */
const maxSettleMilliseconds = 1_000;

const fileAge = (file: string): number =>
    Date.now() - (statSync(file, { throwIfNoEntry: false })?.mtimeMs ?? -Infinity);

/**
 * Reads the settings at the start of a process until they are valid and the file has settled. It may be missing, empty, half
 * written or wrong, which a restart would find as well. Resolves to undefined when the signal aborts before any are valid.
 */
export const awaitResidentSettings = async (
    file: string,
    { clock, signal, onWait, read = readResidentSettings, ageOf = fileAge }: SettingsWaitOptions,
): Promise<SettingsText | undefined> => {
    const notices = createWaitNotices();
    const startedAt = clock.now();
    let pauseMilliseconds = startPauses.firstMilliseconds;
    let settleUntil: number | undefined;
    let found: SettingsText | undefined;
    while (!signal.aborted) {
        try {
            found = read(file);
            settleUntil ??= clock.now() + maxSettleMilliseconds;
            const ageMilliseconds = ageOf(file);
            // A time of the file that lies ahead tells nothing.
            if (ageMilliseconds < 0 || ageMilliseconds >= settleMilliseconds || clock.now() >= settleUntil) {
                return found;
            }
            await clock.sleep(settleMilliseconds - ageMilliseconds, signal);
        }
        catch (error) {
            found = undefined;
            const finding = messageOf(error);
            if (notices.isDue(finding, clock.now())) {
                onWait?.(finding, Math.round(clock.now() - startedAt));
            }
            await clock.sleep(pauseMilliseconds, signal);
            pauseMilliseconds = Math.min(startPauses.maxMilliseconds, pauseMilliseconds * startPauses.factor);
        }
    }
    return found;
};

export type SettingsWatch = {
    /** Reads the file now. */
    check: () => void;
};

export type SettingsWatchOptions = {
    file: string;
    /** The settings that are in force. */
    inForce: SettingsText;
    readFile?: ReadFile;
    /** Called with the error of a read that found no free descriptor or no memory. */
    onShortage?: (error: unknown) => void;
    clock: Clock;
    log: Log;
    /**
     * Called with settings that changed, and whether the start read a file that was not yet written to its end. Returns whether
     * they are in force now; otherwise, and by default, they are from the next start on.
     */
    onChange?: (settings: ResidentSettings, wasCut: boolean) => boolean;
    /** Ends the watch. */
    signal: AbortSignal;
};

/** The file may change without a signal to the process or any other notice, so it is read at this interval. */
const checkIntervalMilliseconds = 5_000;
/** A process that starts may find a file that is still being written, so it is read more often at first. */
const startChecks = { intervalMilliseconds: 100, untilMilliseconds: 10_000 };
/** Pause before a read is tried again that found no free descriptor; doubled each time. */
const firstShortagePauseMilliseconds = 50;
const maxShortagePauseMilliseconds = 2_000;

const changedNames = (before: ResidentSettings, after: ResidentSettings): string[] => {
    const names = Object.keys(after) as Array<keyof ResidentSettings>;
    return names.filter(name => JSON.stringify(before[name]) !== JSON.stringify(after[name]));
};

/** Whether a text begins with the former one and goes on within its last line, as nobody changes a file. */
const goesOnInLine = (before: string, after: string): boolean =>
    after.startsWith(before) && !before.endsWith("\n") && !/^\r?\n/.test(after.slice(before.length));

/**
 * Reads the settings file again when asked and every few seconds. Changes stand when two reads in a row give the same. A file
 * that is not valid changes nothing; a read that finds no free descriptor is tried again soon. The log names
 * the settings that changed and when they are in force.
 */
export const watchSettings = (options: SettingsWatchOptions): SettingsWatch => {
    const { file, readFile = readFileText, onShortage, onChange, clock, log, signal } = options;
    const startChecksUntil = clock.now() + startChecks.untilMilliseconds;
    let current = options.inForce;
    let unsettledText: string | undefined;
    let lastFinding = "";
    let isReadDue = false;

    const readAgain = (pauseMilliseconds: number): void => {
        isReadDue = true;
        clock.after(pauseMilliseconds, () => {
            isReadDue = false;
            check(Math.min(maxShortagePauseMilliseconds, 2 * pauseMilliseconds));
        }, signal);
    };

    const check = (shortagePauseMilliseconds = firstShortagePauseMilliseconds): void => {
        if (isReadDue) {
            return;
        }
        try {
            const text = readText(file, readFile);
            if (text !== current.text && text !== unsettledText) {
                unsettledText = text;
                readAgain(settleMilliseconds);
                return;
            }
            unsettledText = undefined;
            const before = current;
            current = text === before.text ? before : { settings: parseResidentSettings(file, text), text };
            const changed = changedNames(before.settings, current.settings);
            lastFinding = "";
            if (changed.length > 0) {
                const wasCut = clock.now() < startChecksUntil && goesOnInLine(before.text, text);
                const inForce = onChange?.(current.settings, wasCut) === true ? "now" : "at the next start";
                log.info("settings-read", { file, changed: changed.join(","), inForce });
            }
        }
        catch (error) {
            const finding = messageOf(error);
            if (finding !== lastFinding) {
                lastFinding = finding;
                log.warn(isShortage(error) ? "settings-read-delayed" : "settings-refused", { file, finding });
            }
            if (isShortage(error)) {
                onShortage?.(error);
                readAgain(shortagePauseMilliseconds);
            }
        }
    };

    const checkRepeatedly = async (): Promise<void> => {
        while (!signal.aborted) {
            const isStart = clock.now() < startChecksUntil;
            await clock.sleep(isStart ? startChecks.intervalMilliseconds : checkIntervalMilliseconds, signal);
            if (!signal.aborted) {
                check();
            }
        }
    };
    void checkRepeatedly();

    return {
        check: () => {
            log.info("settings-check-requested", { file });
            check();
        },
    };
};
