/**
 * Runs the program in a process of its own.
 */
import { execFile } from "node:child_process";
import { fileURLToPath } from "node:url";

export const mainFile = fileURLToPath(new URL("../../src/main.ts", import.meta.url));

export type ProgramResult = { exitCode: number; output: string };

/** Runs the program until it ends. `output` is what it wrote to standard output. */
export const runProgram = (commandLine: string[]): Promise<ProgramResult> =>
    new Promise(resolve => {
        const child = execFile(process.execPath, ["--import=tsx", mainFile, ...commandLine], (...[, output]) => {
            resolve({ exitCode: child.exitCode ?? -1, output });
        });
    });
