/**
 * Builds the program of a resident host under `target/`: the bundle, V8's compiled code for it, and a small loader that
 * starts the bundle with the compiled code. This shortens the start-up, which every machine pays after every restart.
 */
import { execFileSync } from "node:child_process";
import { copyFileSync } from "node:fs";
import { bundleProgram } from "./bundle.ts";

await bundleProgram("platform/main.ts", "target/program.cjs", { minify: true });
copyFileSync("scripts/loader.cjs", "target/carobpier.cjs");
/** V8 accepts compiled code only when it runs with the flags with which the code was made. */
const flags = ["--max-old-space-size=128", "--max-semi-space-size=2"];
execFileSync(process.execPath, [...flags, "target/carobpier.cjs", "--write-compiled"], { stdio: "inherit" });
