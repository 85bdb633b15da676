/**
 * Preloaded into a process of the program: on SIGUSR2, which the program ignores, keeps its event loop busy for the
 * milliseconds that stand in a file beside its settings.
 */
const { readFileSync } = require("node:fs");

process.on("SIGUSR2", () => {
    const until = performance.now() + Number(readFileSync(`${process.env.CAROBPIER_BOOT}.hold`, "utf8"));
    while (performance.now() < until) {
        // Sockets and timers of the process wait meanwhile.
    }
});
