/**
 * Builds the program of a resident host under `target/`: the bundle, V8's compiled code for it, and a small loader that
 * starts from both. Start-up is paid on every machine and after every restart.
 */
import { execFileSync } from "node:child_process";
import { copyFileSync } from "node:fs";
import { bundleProgram } from "./bundle.ts";

await bundleProgram("platform/main.ts", "target/program.cjs", { minify: true });
copyFileSync("scripts/loader.cjs", "target/carobpier.cjs");
/** V8 takes compiled code only under the flags with which it was made. */
const flags = ["--max-old-space-size=128", "--max-semi-space-size=2"];
execFileSync(process.execPath, [...flags, "target/carobpier.cjs", "--write-compiled"], { stdio: "inherit" });
