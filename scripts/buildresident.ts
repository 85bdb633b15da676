/**
 * Builds the program of a resident host under `target/`.
 */
import { buildResidentProgram } from "./residentbuild.ts";

await buildResidentProgram("platform/main.ts", "target");
