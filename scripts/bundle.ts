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

/**
 * Libraries of which a program that starts often needs a small part, while their entry points load all: undici's also its
 * `fetch` and, with that, the one within Node, and prom-client's the clients of other services. An import of anything that
 * is not named here fails the build.
 */
const neededParts: Record<string, string> = {
    undici: `
        import api from "undici/lib/api/index.js";
        import buildConnector from "undici/lib/core/connect.js";
        import Client from "undici/lib/dispatcher/client.js";
        import Dispatcher from "undici/lib/dispatcher/dispatcher.js";
        import Pool from "undici/lib/dispatcher/pool.js";
        Object.assign(Dispatcher.prototype, api);
        export { buildConnector, Client, Pool };`,
    "prom-client": `
        export { default as Counter } from "prom-client/lib/counter.js";
        export { default as Gauge } from "prom-client/lib/gauge.js";
        export { default as Histogram } from "prom-client/lib/histogram.js";
        export { default as Registry } from "prom-client/lib/registry.js";`,
};

const loadNeededParts: Plugin = {
    name: "load-needed-parts",
    setup: builder => {
        builder.onResolve({ filter: /^(undici|prom-client)$/ }, ({ path, resolveDir }) => ({
            path,
            namespace: "needed-parts",
            pluginData: resolveDir,
        }));
        builder.onLoad({ filter: /.*/, namespace: "needed-parts" }, ({ path, pluginData }) => ({
            contents: neededParts[path],
            resolveDir: String(pluginData),
        }));
    },
};

/** The `require` of a single executable warns about each module not built into Node; an ordinary one does not. */
const ordinaryRequire = "require = require(\"node:module\").createRequire(process.execPath);";

/**
 * Bundles the program whose entry point is `entry` into `file`.
 *
 * @param options.isLean whether large libraries are left out but for the parts that a resident host needs.
 */
export const bundleProgram = async (
    entry: string,
    file: string,
    { minify = false, isLean = false } = {},
): Promise<void> => {
    await build({
        entryPoints: [entry],
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        outfile: file,
        minify,
        plugins: [leaveOutOptionalModules, leaveOutLocales, ...(isLean ? [loadNeededParts] : [])],
        banner: { js: ordinaryRequire },
        logLevel: "warning",
    });
};
