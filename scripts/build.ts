/**
 * Builds the program: bundles it into one CommonJS file, and makes from it a single executable that contains Node.
 */
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { inject } from "postject";
import { bundleProgram } from "./bundle.ts";

const bundle = "dist/carobpier.cjs";
const blob = "dist/carobpier.blob";
const program = "dist/carobpier";
const fuse = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

mkdirSync("dist", { recursive: true });
await bundleProgram("src/main.ts", bundle);
writeFileSync(
    "dist/sea.json",
    JSON.stringify({ main: bundle, output: blob, disableExperimentalSEAWarning: true, useCodeCache: false }),
);
execFileSync(process.execPath, ["--experimental-sea-config", "dist/sea.json"], { stdio: "ignore" });
copyFileSync(process.execPath, program);
chmodSync(program, 0o755);
await inject(program, "NODE_SEA_BLOB", readFileSync(blob), { sentinelFuse: fuse });
