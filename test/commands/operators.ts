/**
 * Operators for tests: each has its own link to the platform, and a transcript takes down what the commands write.
 */
import { createHash } from "node:crypto";
import { exitCodeOf } from "../../src/commands/exitcodes.ts";
import type { EditableKind, ObjectOperationOptions } from "../../src/commands/objectoperations.ts";
import type { Clock } from "../../src/contracts/clock.ts";
import { messageOf } from "../../src/contracts/errors.ts";
import { systemClock } from "../../src/links/clock.ts";
import { createPlatformLink } from "../../src/links/platform.ts";
import type { PlatformStandIn } from "../../stand-ins/platform.ts";

/** A clock on which every pause is over at once. */
const hurriedClock: Clock = { ...systemClock, sleep: () => Promise.resolve() };

export type Operator = {
    options: (kind?: EditableKind) => ObjectOperationOptions;
    /** Runs one command and takes down how it ended. */
    run: (command: string, work: () => Promise<unknown>) => Promise<void>;
    close: () => Promise<void>;
};

/** Creates an operator whose lines are noted under a name. Write ids are `NAME-1`, `NAME-2` and so on. */
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
            clock: hurriedClock,
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

/** The hash of a token as a plan holds it. */
export const hashToken = (token: string): string => createHash("sha256").update(token).digest("hex");
