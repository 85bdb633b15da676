/**
 * Transcripts of test sessions, which are compared with golden files. Run the tests with `UPDATE_GOLDEN=1` to rewrite
 * the files, and review the differences before committing them.
 */
import type { ExecutionContext } from "ava";
import { readFile, writeFile } from "node:fs/promises";

export type Transcript = {
    /** Adds a line. */
    note: (line: string) => void;
    /** Replaces a value that changes from run to run, such as a port or an id, by a fixed name. */
    name: (value: string, name: string) => void;
    /** Compares the transcript with `test/golden/NAME.txt`. */
    compare: (t: ExecutionContext, name: string) => Promise<void>;
};

/** Creates an empty transcript. */
export const createTranscript = (): Transcript => {
    const lines: string[] = [];
    const replacements = new Map<string, string>();
    return {
        note: line => {
            lines.push(line);
        },
        name: (value, name) => {
            replacements.set(value, name);
        },
        compare: async (t, name) => {
            let text = `${lines.join("\n")}\n`;
            for (const [value, replacement] of replacements) {
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
