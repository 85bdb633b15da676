/**
 * Builds the program of a resident host under `target/`: the bundle, V8's compiled code for it, and a small loader that
 * starts the bundle with the compiled code. This shortens the start-up, which every machine pays after every restart.
 * Each file takes the place of the former one at once, since processes may start meanwhile.
 */
import { execFileSync } from "node:child_process";
import { copyFileSync, mkdirSync, mkdtempSync, readdirSync, renameSync, rmdirSync } from "node:fs";
import { join } from "node:path";
import { bundleProgram } from "./bundle.ts";

const target = "target";
mkdirSync(target, { recursive: true });
const folder = mkdtempSync(join(target, "build-"));
await bundleProgram("platform/main.ts", join(folder, "program.cjs"), { minify: true });
copyFileSync("scripts/loader.cjs", join(folder, "carobpier.cjs"));
/** V8 accepts compiled code only when it runs with the flags with which the code was made. */
const flags = ["--max-old-space-size=128", "--max-semi-space-size=2"];
execFileSync(process.execPath, [...flags, join(folder, "carobpier.cjs"), "--write-compiled"], { stdio: "inherit" });
readdirSync(folder).forEach(file => renameSync(join(folder, file), join(target, file)));
rmdirSync(folder);
