/**
 * Builds a program of a resident host in a folder: the bundle, V8's compiled code for it, and a small loader that starts the
 * bundle with the compiled code. This shortens the start-up, which every machine pays after every restart.
 *
 * Processes may start while a build goes on. The bundle and its compiled code have names of their own in each build, and
 * the loader, which names them and their digests, takes the place of the former one last. The files that the former
 * loader names stay for processes that have read it.
 */
import { transform } from "esbuild";
import { execFileSync } from "node:child_process";
import { hash } from "node:crypto";
import {
    mkdirSync,
    mkdtempSync,
    readdirSync,
    readFileSync,
    renameSync,
    rmSync,
    statSync,
    writeFileSync,
} from "node:fs";
import { join } from "node:path";
import { bundleProgram } from "./bundle.ts";

const loaderFile = "carobpier.cjs";
/** V8 accepts compiled code only when it runs with the flags with which the code was made. */
const flags = ["--max-old-space-size=128", "--max-semi-space-size=2"];
/** Names of what a build leaves beside the loader, as the loader has them, too. */
const builtFilePattern = /\bprogram[\w-]*\.(?:cjs|compiled)\b/g;
const workFolderPattern = /^build-/;
/** Builds may run at the same time, so that what no loader names may belong to one that goes on. */
const maxBuildMilliseconds = 3_600_000;

const digestOf = (content: Uint8Array | string): string => hash("sha256", content);

const nameOf = (digest: string, extension: string): string => `program-${digest.slice(0, 16)}.${extension}`;

const readLoader = (folder: string): string => {
    try {
        return readFileSync(join(folder, loaderFile), "utf8");
    }
    catch {
        return "";
    }
};

/** What compiled code is bound to, beside the flags, which V8 compares itself. */
const machine = { platform: process.platform, arch: process.arch, v8: process.versions.v8 };

type BuiltFile = { name: string; digest: string };

/** The loader with the names and digests of what it starts. */
const createLoader = async (program: BuiltFile, compiled: BuiltFile): Promise<string> => {
    const files = { program, compiled, machine };
    const source = readFileSync(new URL("loader.cjs", import.meta.url), "utf8");
    const { code } = await transform(source, { define: { files: JSON.stringify(files) } });
    return code;
};

const removeFormer = (folder: string, loaders: string[]): void => {
    const named = new Set(loaders.flatMap(loader => loader.match(builtFilePattern) ?? []));
    readdirSync(folder)
        .filter(file => file.match(builtFilePattern)?.[0] === file || workFolderPattern.test(file))
        .filter(file => !named.has(file))
        // What another build removes meanwhile has no time.
        .map(file => ({
            file,
            writtenAt: statSync(join(folder, file), { throwIfNoEntry: false })?.mtimeMs ?? Infinity,
        }))
        .filter(({ writtenAt }) => writtenAt < Date.now() - maxBuildMilliseconds)
        .forEach(({ file }) => rmSync(join(folder, file), { recursive: true, force: true }));
};

/** Builds the program whose entry point is `entry` into `folder`, where `carobpier.cjs` starts it. */
export const buildResidentProgram = async (entry: string, folder: string): Promise<void> => {
    mkdirSync(folder, { recursive: true });
    const workFolder = mkdtempSync(join(folder, "build-"));
    const bundle = join(workFolder, "program.cjs");
    await bundleProgram(entry, bundle, { minify: true, isLean: true });
    const digest = digestOf(readFileSync(bundle));
    const program = { name: nameOf(digest, "cjs"), digest };
    renameSync(bundle, join(workFolder, program.name));
    const loader = join(workFolder, loaderFile);
    const madeName = "program.compiled";
    writeFileSync(loader, await createLoader(program, { name: madeName, digest: "" }));
    execFileSync(process.execPath, [...flags, loader, "--write-compiled"], { stdio: "inherit" });
    const made = join(workFolder, madeName);
    const compiledDigest = digestOf(readFileSync(made));
    const compiled = { name: nameOf(compiledDigest, "compiled"), digest: compiledDigest };
    writeFileSync(loader, await createLoader(program, compiled));
    const formerLoader = readLoader(folder);
    renameSync(join(workFolder, program.name), join(folder, program.name));
    renameSync(made, join(folder, compiled.name));
    renameSync(loader, join(folder, loaderFile));
    rmSync(workFolder, { recursive: true });
    removeFormer(folder, [formerLoader, readLoader(folder)]);
};
