/**
 * Works out the state, messages, processor time and memory of each role at the target size, from the slopes in
 * bench/results and from the sizes of states measured here, and writes the tables of docs/CAPACITY.md.
 * `npm run bench:capacity`.
 */
import { pack } from "msgpackr";
import { readFile, writeFile } from "node:fs/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { deflateSync } from "node:zlib";
import { poolSchema } from "../src/contracts/pool.ts";
import { firstAssignment } from "../src/decisions/assign.ts";
import { createClaimMemory } from "../src/decisions/claim.ts";
import { createPool, customers } from "./customers.ts";
import { fitLine, type LinearFit } from "./slope.ts";

type Fits = Record<string, LinearFit>;
type Row = [role: string, figure: string, value: string, bound: string, verdict: string];

/** The target size of the letter. A day has 86,400 s. */
const size = {
    hosts: 3_600,
    targetsPerHost: 3,
    byKeyShare: 18 / 28,
    targetsPerPool: 10,
    regions: 7,
    zones: 17,
    keys: 3e9,
    requestsPerSecond: 9.2e6,
    onceShare: 0.2,
    changesPerDay: 8_500,
    replacementsPerDay: 660 + 13,
    claimAgeSeconds: 300,
    leaseRenewalSeconds: 0.667,
    hostsPerCell: 12,
} as const;

const bounds = { cpuPercent: 3, megabytes: 256, kilobytesPerSecond: 27, writes: 500, reads: 2_000 } as const;
const secondsPerDay = 86_400;
const slopeHosts = 4;
const byKeyTargetsOfSlope = 18;
const docsFile = "docs/CAPACITY.md";

const readFits = async (name: string): Promise<Fits> =>
    JSON.parse(await readFile(`bench/results/${name}.json`, "utf8")) as Fits;

const collectGarbage = (): void => {
    setFlagsFromString("--expose-gc");
    (runInNewContext("gc") as () => void)();
};

const heapBytes = (): number => {
    collectGarbage();
    return process.memoryUsage().heapUsed;
};

/** Bytes of an assignment by its number of slots: as JSON at the platform, and packed and deflated. */
const assignmentSizes = (): Array<{ slots: number; json: number; packed: number; deflated: number }> =>
    [1_024, 4_096, 16_384].map(slots => {
        const shape = customers[0].pools[0];
        const targets = [...Array(size.targetsPerPool).keys()].map(index => ({
            name: `${shape.name}-${index + 1}`,
            address: `10.0.0.${index + 1}:8080`,
        }));
        const pool = poolSchema.parse({
            ...createPool({ ...shape, targets: size.targetsPerPool }, targets),
            slotCount: slots,
        });
        const hosts = [...Array(size.hostsPerCell).keys()].map(index => ({
            name: `host-${index + 1}`,
            zone: shape.zones[index % shape.zones.length],
        }));
        const packed = pack(firstAssignment(pool, hosts));
        return {
            slots,
            json: JSON.stringify(firstAssignment(pool, hosts)).length,
            packed: packed.length,
            deflated: deflateSync(packed).length,
        };
    });

/** Heap bytes of one remembered claim, as the slope over three numbers of claims. */
const claimLine = (): LinearFit => {
    const points = [20_000, 40_000, 80_000].map((count): [number, number] => {
        const before = heapBytes();
        const memory = createClaimMemory({
            host: "host-1",
            ageMilliseconds: 300_000,
            entryLimit: { used: 0, max: count },
        });
        memory.setKeepers({ hosts: ["host-1"], since: 1, previous: [] } as never, "born");
        for (let index = 0; index < count; index += 1) {
            memory.claim({
                kind: "claim",
                pool: "orders",
                group: 0,
                since: 1,
                id: `order-of-a-usual-length-${index}`,
                token: `token-of-a-usual-length-${index}`,
                firstAttempt: true,
                ageMilliseconds: 0,
            }, 1);
        }
        const used = heapBytes() - before;
        return [memory.size(), used];
    });
    return fitLine(points);
};

const short = (value: number): string => value >= 100 ? value.toFixed(0) : value.toPrecision(3);

const rowOf = (role: string, figure: string, value: number, bound: number | undefined, unit: string): Row => [
    role,
    figure,
    `${short(value)} ${unit}`,
    bound === undefined ? "-" : `${bound} ${unit}`,
    bound === undefined ? "-" : value <= bound ? "carries" : `${short(value / bound)} times over`,
];

const lineAt = (line: LinearFit, at: number): number => line.intercept + line.slope * at;

const rowsOf = (
    hosts: Fits,
    targets: Fits,
    requests: Fits,
    slots: Fits,
    claim: LinearFit,
    tableBytes: number,
): Row[] => {
    const requestsPerHost = size.requestsPerSecond / size.hosts;
    const byKeyPerHost = size.targetsPerHost * size.byKeyShare;
    const perByKeyTarget = (figure: string): number => targets[figure].slope * slopeHosts / byKeyTargetsOfSlope;
    const pools = size.hosts * size.targetsPerHost / size.targetsPerPool;
    const oncePerHost = requestsPerHost * size.onceShare;
    const claims = oncePerHost * 2 * size.claimAgeSeconds;
    const cells = size.hosts / size.hostsPerCell;
    const poolsPerCell = pools / cells;
    const slopeCell = hosts["host-peer-KB/s"];
    return [
        rowOf("router", "requests", requestsPerHost, undefined, "1/s a host"),
        rowOf("router", "processor", requests["host-cpu-%"].slope * slopeHosts * requestsPerHost, 100, "% of a core"),
        rowOf(
            "host at rest",
            "processor",
            lineAt(hosts["host-cpu-%"], size.hostsPerCell),
            bounds.cpuPercent,
            "% of a core",
        ),
        rowOf("host at rest", "memory", lineAt(hosts["host-peak-MB"], size.hostsPerCell), bounds.megabytes, "MB"),
        rowOf(
            "host, all in one mesh",
            "links",
            Math.max(0, lineAt(slopeCell, size.hosts)),
            bounds.kilobytesPerSecond,
            "KB/s",
        ),
        rowOf(
            "host, in a cell",
            "links",
            Math.max(0, lineAt(slopeCell, size.hostsPerCell)),
            bounds.kilobytesPerSecond,
            "KB/s",
        ),
        rowOf("renewer", "processor", perByKeyTarget("host-cpu-%") * byKeyPerHost, bounds.cpuPercent, "% of a core"),
        rowOf(
            "renewer",
            "bytes to targets",
            perByKeyTarget("host-target-control-KB/s") * byKeyPerHost,
            bounds.kilobytesPerSecond,
            "KB/s",
        ),
        rowOf("claim keeper", "claims kept", claims, undefined, "entries a host"),
        rowOf("claim keeper", "memory", claims * claim.slope / 1e6, bounds.megabytes, "MB"),
        rowOf("coordinator", "memory of tables", poolsPerCell * tableBytes / 1e6, bounds.megabytes, "MB in a cell"),
        rowOf(
            "host, by slots",
            "memory at 16,384 slots a pool",
            lineAt(slots["host-peak-MB"], 16_384),
            bounds.megabytes,
            "MB",
        ),
        rowOf(
            "relay",
            "changes",
            size.changesPerDay / secondsPerDay * tableBytes / 1_000,
            bounds.kilobytesPerSecond,
            "KB/s a link, every change a whole table",
        ),
        rowOf(
            "platform",
            "reads, every host by itself",
            hosts["platform-reads/s"].slope * size.hosts,
            bounds.reads,
            "1/s",
        ),
        rowOf("platform", "reads, two relays a zone", 2 * size.zones * 4, bounds.reads, "1/s"),
        rowOf("platform", "reads, two relays a cell", 2 * cells * 4, bounds.reads, "1/s"),
        rowOf("platform", "writes, a lease a pool", pools / size.leaseRenewalSeconds, bounds.writes, "1/s"),
        rowOf("platform", "writes, a lease a cell", cells / size.leaseRenewalSeconds, bounds.writes, "1/s"),
        rowOf(
            "platform",
            "writes of changes and replacements",
            (size.changesPerDay + size.replacementsPerDay * (3 + poolsPerCell)) / secondsPerDay,
            bounds.writes,
            "1/s",
        ),
    ];
};

const markdownTable = (head: string[], rows: string[][]): string[] => [
    `| ${head.join(" | ")} |`,
    `|${head.map(() => "---").join("|")}|`,
    ...rows.map(row => `| ${row.join(" | ")} |`),
];

const replaceBetween = (text: string, name: string, lines: string[]): string => {
    const [start, end] = [`<!-- ${name} -->`, `<!-- end of ${name} -->`];
    const [from, until] = [text.indexOf(start), text.indexOf(end)];
    if (from < 0 || until < from) {
        throw new Error(`The marks "${start}" and "${end}" do not exist in ${docsFile}.`);
    }
    return `${text.slice(0, from + start.length)}\n\n${lines.join("\n")}\n\n${text.slice(until)}`;
};

const slopeRows = (name: string, fits: Fits): string[][] =>
    Object.entries(fits).map(([figure, { intercept, slope, residual }]) => [
        name,
        figure,
        intercept.toPrecision(4),
        slope.toPrecision(4),
        residual.toPrecision(2),
    ]);

const start = async (): Promise<void> => {
    const names = ["slope-hosts", "slope-targets", "slope-requests", "slope-slots"];
    const [hosts, targets, requests, slots] = await Promise.all(names.map(readFits));
    const tables = assignmentSizes();
    const claim = claimLine();
    const rows = rowsOf(hosts, targets, requests, slots, claim, tables[0].json);
    let text = await readFile(docsFile, "utf8");
    text = replaceBetween(text, "roles", markdownTable(["role", "figure", "at the target size", "bound", ""], rows));
    text = replaceBetween(
        text,
        "tables",
        markdownTable(
            ["slots", "JSON, bytes", "msgpack, bytes", "deflated, bytes"],
            tables.map(({ slots: count, json, packed, deflated }) => [count, json, packed, deflated].map(String)),
        ),
    );
    text = replaceBetween(
        text,
        "slopes",
        markdownTable(["run", "figure", "at zero", "per unit", "residual"], [
            ...names.flatMap((name, index) => slopeRows(name, [hosts, targets, requests, slots][index])),
            ["claims in memory", "heap bytes", ...[claim.intercept, claim.slope, claim.residual].map(short)],
        ]),
    );
    await writeFile(docsFile, text);
    process.stdout.write(`${rows.map(row => row.join("  ")).join("\n")}\n`);
};

await start();
