/**
 * Transcripts of whole sessions, compared with golden files. Run the tests with `UPDATE_GOLDEN=1` to write them anew,
 * then read the difference before it is committed.
 */
import type { ExecutionContext } from "ava";
import { readFile, writeFile } from "node:fs/promises";

export type Transcript = {
    /** Adds a line. */
    note: (line: string) => void;
    /** Replaces a value that differs from run to run, such as a port or an id, by a fixed name. */
    name: (value: string, name: string) => void;
    /** Compares the session with `test/golden/NAME.txt`. */
    compare: (t: ExecutionContext, name: string) => Promise<void>;
};

/** Creates an empty transcript. */
export const createTranscript = (): Transcript => {
    const lines: string[] = [];
    const names = new Map<string, string>();
    return {
        note: line => {
            lines.push(line);
        },
        name: (value, name) => {
            names.set(value, name);
        },
        compare: async (t, name) => {
            let text = `${lines.join("\n")}\n`;
            for (const [value, replacement] of names) {
                text = text.replaceAll(value, replacement);
            }
            const file = new URL(`./${name}.txt`, import.meta.url);
            if (process.env["UPDATE_GOLDEN"] !== undefined) {
                await writeFile(file, text);
            }
            t.is(text, await readFile(file, "utf8"));
        },
    };
};
