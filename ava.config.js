export default {
    files: ["test/**/*.test.ts", "!test/crowds/**"],
    extensions: { ts: "module" },
    nodeArguments: ["--import=tsx"],
    workerThreads: false,
    timeout: "5m",
};
