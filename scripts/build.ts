/**
 * Builds the program: one bundled CommonJS file, and from it one executable with Node inside.
 */
import { build, type Plugin } from "esbuild";
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { inject } from "postject";

const bundle = "dist/carobpier.cjs";
const blob = "dist/carobpier.blob";
const program = "dist/carobpier";
const fuse = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

/** Native modules and tools that the libraries load where they find them, and do without otherwise. */
const optionalModules = /^(unix-dgram|bufferutil|utf-8-validate|msgpackr-extract|typescript)$/;

const leaveOutOptionalModules: Plugin = {
    name: "leave-out-optional-modules",
    setup: builder => {
        builder.onResolve({ filter: optionalModules }, ({ path }) => ({ path, namespace: "left-out" }));
        builder.onLoad({ filter: /.*/, namespace: "left-out" }, ({ path }) => ({
            contents: `throw new Error("The optional module ${path} is not part of this program.");`,
        }));
    },
};

/** The require of a single executable warns about each module that is not built in; an ordinary one does not. */
const ordinaryRequire = "require = require(\"node:module\").createRequire(process.execPath);";

mkdirSync("dist", { recursive: true });
await build({
    entryPoints: ["src/main.ts"],
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    outfile: bundle,
    plugins: [leaveOutOptionalModules],
    banner: { js: ordinaryRequire },
    logLevel: "warning",
});
writeFileSync(
    "dist/sea.json",
    JSON.stringify({ main: bundle, output: blob, disableExperimentalSEAWarning: true, useCodeCache: false }),
);
execFileSync(process.execPath, ["--experimental-sea-config", "dist/sea.json"], { stdio: "ignore" });
copyFileSync(process.execPath, program);
chmodSync(program, 0o755);
await inject(program, "NODE_SEA_BLOB", readFileSync(blob), { sentinelFuse: fuse });
