/**
 * Checks that names of the platform's protocols and objects appear only in `platform/`.
 */
import test from "ava";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

const platformNames = [
    "Target-Instance",
    "Not-Executed",
    "Server-Load",
    "Response-Signature",
    "Shard-Key",
    "Request-Deadline",
    "Instance-Id",
    "warmupLeft",
    "pathPrefix",
    "hold_time",
    "currentRev",
    "waitMs",
    "serializable=1",
    "maxHeaderBytes",
    "targetLatency",
    "CAROBPIER_BOOT",
    "/v1/",
];

/** The product's own protocol with targets has a header of the same name. */
const allowedUses = ["src/contracts/targetprotocol.ts: Request-Deadline"];

const filesBelow = (folder: string): string[] =>
    readdirSync(folder, { recursive: true, encoding: "utf8" })
        .filter(file => file.endsWith(".ts"))
        .map(file => join(folder, file));

for (const folder of ["src", "model", "bench"]) {
    test(`${folder}/ contains no names of the platform`, t => {
        const found = filesBelow(folder).flatMap(file => {
            const text = readFileSync(file, "utf8").toLowerCase();
            return platformNames.filter(name => text.includes(name.toLowerCase()))
                .map(name => `${file}: ${name}`);
        });
        t.deepEqual(found.filter(use => !allowedUses.includes(use)), []);
    });
}
