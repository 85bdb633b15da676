/**
 * Builds the program of a resident host: one minified CommonJS file, since its start counts on every machine.
 */
import { bundleProgram } from "./bundle.ts";

await bundleProgram("platform/main.ts", "target/carobpier.cjs", { minify: true });
