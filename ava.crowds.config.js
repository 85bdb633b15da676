/** Tests that bound the memory of the built program, which run one at a time and apart from other load. */
export default {
    files: ["test/crowds/**/*.test.ts"],
    extensions: { ts: "module" },
    nodeArguments: ["--import=tsx"],
    workerThreads: false,
    concurrency: 1,
    timeout: "5m",
};
