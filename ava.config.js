export default {
    files: ["test/**/*.test.ts"],
    extensions: { ts: "module" },
    nodeArguments: ["--import=tsx"],
    workerThreads: false,
    timeout: "5m",
};
