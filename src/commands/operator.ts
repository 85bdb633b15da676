/**
 * The base class and the flags of the operators' commands: access to the platform, waiting, and exit codes of errors.
 */
import { Command, Flags } from "@oclif/core";
import { readFile } from "node:fs/promises";
import { InputError, messageOf } from "../contracts/errors.ts";
import { describeFinding } from "../contracts/finding.ts";
import { systemClock } from "../links/clock.ts";
import { createPlatformLink, type PlatformLink } from "../links/platform.ts";
import { readSecret, readSettings } from "../links/settings.ts";
import { exitCodeOf, exitCodes } from "./exitcodes.ts";
import { type EditableKind, type ObjectOperationOptions, readReferenceFindings } from "./objectoperations.ts";
import { waitUntilInForce } from "./wait.ts";

const platformTimeoutMilliseconds = 2_000;

/** Flags of every command that calls the platform. */
export const platformFlags = {
    platform: Flags.string({ summary: "URL of the platform's object API.", exclusive: ["settings"] }),
    settings: Flags.string({ char: "s", summary: "Settings file that holds the URL of the platform." }),
    "token-file": Flags.string({ summary: "File that holds the bearer token for the platform." }),
};

/** Flags of every command that writes. */
export const waitFlags = {
    wait: Flags.boolean({ summary: "Wait until no host serves by an older version." }),
    timeout: Flags.integer({ default: 60, min: 1, summary: "Longest wait, in seconds." }),
};

export type PlatformFlags = { platform?: string; settings?: string; "token-file"?: string };

const readToken = async (file: string): Promise<string> => {
    const text = await readFile(file, "utf8").catch((error: unknown) => {
        throw new InputError(`The token file "${file}" is not readable: ${messageOf(error)}.`);
    });
    return text.trim();
};

const openPlatform = async (flags: PlatformFlags): Promise<PlatformLink> => {
    const tokenFile = flags["token-file"];
    const token = tokenFile === undefined ? undefined : await readToken(tokenFile);
    if (flags.platform !== undefined) {
        return createPlatformLink({ url: flags.platform, timeoutMilliseconds: platformTimeoutMilliseconds, token });
    }
    if (flags.settings === undefined) {
        throw new InputError("The URL of the platform is missing: pass --platform URL or --settings FILE.");
    }
    const { platform } = await readSettings(flags.settings);
    const settingsToken = platform.tokenFile === undefined
        ? undefined
        : await readSecret(flags.settings, platform.tokenFile);
    return createPlatformLink({
        url: platform.url,
        timeoutMilliseconds: platformTimeoutMilliseconds,
        token: token ?? settingsToken?.toString("utf8"),
    });
};

/** Base class of the commands that call the platform. */
export abstract class OperatorCommand extends Command {
    static override enableJsonFlag = true;

    /** Opens a link to the platform, runs the work with it, and closes it. */
    protected async withPlatform<Result>(
        flags: PlatformFlags,
        work: (platform: PlatformLink) => Promise<Result>,
    ): Promise<Result> {
        const platform = await openPlatform(flags);
        try {
            return await work(platform);
        }
        finally {
            await platform.close();
        }
    }

    protected operationOptions(kind: EditableKind, platform: PlatformLink): ObjectOperationOptions {
        return { kind, platform, clock: systemClock, write: line => this.log(line) };
    }

    /** Prints the findings in stored objects and their references. They do not change the exit code. */
    protected async printReferenceFindings(platform: PlatformLink): Promise<string[]> {
        const lines = (await readReferenceFindings(platform)).map(describeFinding);
        lines.forEach(line => this.log(`finding: ${line}`));
        return lines;
    }

    /** With `--wait`, waits until no host serves by an older version, and prints the result. */
    protected async waitIfRequested(
        platform: PlatformLink,
        flags: { wait: boolean; timeout: number },
        place: string,
        version: number,
    ): Promise<object> {
        if (!flags.wait) {
            return {};
        }
        const result = await waitUntilInForce(place, version, {
            platform,
            clock: systemClock,
            write: line => this.log(line),
            timeoutMilliseconds: flags.timeout * 1_000,
        });
        const hosts = Object.keys(result.hosts).length;
        const verdict = result.everywhere
            ? "is in force: no host serves by an older one"
            : "is not in force everywhere";
        this.log(`${place} version ${version} ${verdict} (${hosts} hosts, ${result.milliseconds} ms).`);
        if (!result.everywhere) {
            process.exitCode = exitCodes.notInForce;
        }
        return { wait: result };
    }

    protected override async catch(error: Error): Promise<unknown> {
        const isUsageError = "oclif" in error && !("exit" in error && error.exit === 0);
        process.exitCode = isUsageError ? exitCodes.input : exitCodeOf(error);
        return super.catch(error);
    }
}
