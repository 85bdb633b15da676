/**
 * Standard output for logs beside a reader that pauses. Guards against lines that are lost, repeated or out of order, also at
 * the end of the process.
 */
import test from "ava";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { pathToFileURL } from "node:url";

const programOf = (count: number): string => `
    const [{ openLogOutput }, { systemClock }] = await Promise.all(
        ["logoutput", "clock"].map(name => import("${pathToFileURL("src/links/")}" + name + ".ts")),
    );
    const output = openLogOutput(systemClock);
    let next = 0;
    const timer = setInterval(() => {
        for (let line = 0; line < 35; line += 1) {
            output.write(next + " " + "y".repeat(300) + "\\n");
            next += 1;
        }
        if (next >= ${count}) {
            clearInterval(timer);
            output.flush();
            process.exit(0);
        }
    }, 100);
`;

const cases = [
    { count: 35, pauses: false },
    { count: 1_400, pauses: true },
];

for (const { count, pauses } of cases) {
    test(`${count} lines are written once and in order to a reader that ${pauses ? "pauses" : "does not pause"}`, async t => {
        t.timeout(60_000);
        const file = join(mkdtempSync(join(tmpdir(), "carobpier-")), "program.mts");
        writeFileSync(file, programOf(count));
        const child = spawn(process.execPath, ["--import=tsx", file], { stdio: ["ignore", "pipe", "inherit"] });
        let text = "";
        child.stdout.on("data", part => {
            text += String(part);
            if (pauses && text.length % 3 === 0) {
                child.stdout.pause();
                setTimeout(() => child.stdout.resume(), 200);
            }
        });
        await once(child, "close");
        const numbers = text.trim().split("\n").map(line => Number(line.split(" ")[0]));
        t.deepEqual(numbers, Array.from({ length: count }, (...[, index]) => index));
    });
}
