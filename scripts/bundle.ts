/**
 * Bundles a program into one CommonJS file.
 */
import { build, type Plugin } from "esbuild";

/** Native modules and tools that the libraries use where they are installed, and work without otherwise. */
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

/** Leaves out zod's messages in other languages, which make up a third of a small program. */
const leaveOutLocales: Plugin = {
    name: "leave-out-locales",
    setup: builder => {
        builder.onResolve({ filter: /\/locales\/index\.js$/ }, () => ({ path: "locales", namespace: "no-locales" }));
        builder.onLoad({ filter: /.*/, namespace: "no-locales" }, () => ({ contents: "export {};" }));
    },
};

/** The `require` of a single executable warns about each module not built into Node; an ordinary one does not. */
const ordinaryRequire = "require = require(\"node:module\").createRequire(process.execPath);";

/** Bundles the program whose entry point is `entry` into `file`. */
export const bundleProgram = async (entry: string, file: string, { minify = false } = {}): Promise<void> => {
    await build({
        entryPoints: [entry],
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        outfile: file,
        minify,
        plugins: [leaveOutOptionalModules, leaveOutLocales],
        banner: { js: ordinaryRequire },
        logLevel: "warning",
    });
};
