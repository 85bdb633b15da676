/**
 * Operators for tests. Each has its own link to the platform and records what its commands write and how they end.
 */
import { createHash } from "node:crypto";
import { exitCodeOf } from "../../src/commands/exitcodes.ts";
import type { EditableKind, ObjectOperationOptions } from "../../src/commands/objectoperations.ts";
import type { Clock } from "../../src/contracts/clock.ts";
import { messageOf } from "../../src/contracts/errors.ts";
import { systemClock } from "../../src/links/clock.ts";
import { createPlatformLink } from "../../src/links/platform.ts";
import type { PlatformStandIn } from "../../stand-ins/platform.ts";

/** A clock whose `sleep` returns at once. */
const instantSleepClock: Clock = { ...systemClock, sleep: () => Promise.resolve() };

export type Operator = {
    options: (kind?: EditableKind) => ObjectOperationOptions;
    /** Runs one command and records its errors and its exit code. */
    run: (command: string, work: () => Promise<unknown>) => Promise<void>;
    close: () => Promise<void>;
};

/** Creates an operator whose recorded lines begin with its name. Its write ids are `NAME-1`, `NAME-2` and so on. */
export const createOperator = (
    name: string,
    platform: PlatformStandIn,
    note: (line: string) => void = () => undefined,
): Operator => {
    const link = createPlatformLink({ url: platform.url, timeoutMilliseconds: 30_000 });
    let writes = 0;
    return {
        options: (kind = "plans") => ({
            kind,
            platform: link,
            clock: instantSleepClock,
            write: line => note(`${name}:   ${line}`),
            writeId: () => {
                writes += 1;
                return `${name}-${writes}`;
            },
        }),
        run: async (command, work) => {
            note(`${name}$ ${command}`);
            try {
                await work();
                note(`${name}:   exit 0`);
            }
            catch (error) {
                messageOf(error).split("\n").forEach(line => note(`${name}:   ${line}`));
                note(`${name}:   exit ${exitCodeOf(error)}`);
            }
        },
        close: () => link.close(),
    };
};

/** The hash of a token as plans store it. */
export const hashToken = (token: string): string => createHash("sha256").update(token).digest("hex");
