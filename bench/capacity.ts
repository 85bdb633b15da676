/**
 * Calculates the state, messages, processor time and memory of each role at the design size of the product.
 * The calculation uses the slopes in bench/results and the sizes of state that this module measures. It writes the tables
 * of docs/CAPACITY.md. Run with `npm run bench:capacity`.
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

/** The design size of the product, for which the capacity is calculated. */
const designSize = {
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
const slopeRunHosts = 4;
const slopeRunByKeyTargets = 18;
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

/** Bytes of an assignment by its number of slots: as JSON on the platform, in msgpack, and in deflated msgpack. */
const measureAssignmentSizes = (): Array<{ slots: number; json: number; packed: number; deflated: number }> =>
    [1_024, 4_096, 16_384].map(slots => {
        const shape = customers[0].pools[0];
        const targets = [...Array(designSize.targetsPerPool).keys()].map(index => ({
            name: `${shape.name}-${index + 1}`,
            address: `10.0.0.${index + 1}:8080`,
        }));
        const pool = poolSchema.parse({
            ...createPool({ ...shape, targets: designSize.targetsPerPool }, targets),
            slotCount: slots,
        });
        const hosts = [...Array(designSize.hostsPerCell).keys()].map(index => ({
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

/** Fits the heap bytes of the claim memory to its number of claims; the slope is the size of one claim. */
const measureClaimMemory = (): LinearFit => {
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

const formatNumber = (value: number): string => value >= 100 ? value.toFixed(0) : value.toPrecision(3);

const createRow = (role: string, figure: string, value: number, bound: number | undefined, unit: string): Row => [
    role,
    figure,
    `${formatNumber(value)} ${unit}`,
    bound === undefined ? "-" : `${bound} ${unit}`,
    bound === undefined ? "-" : value <= bound ? "carries" : `${formatNumber(value / bound)} times over`,
];

const evaluateFit = (fit: LinearFit, x: number): number => fit.intercept + fit.slope * x;

const createRows = (
    hosts: Fits,
    targets: Fits,
    requests: Fits,
    slots: Fits,
    claim: LinearFit,
    tableBytes: number,
): Row[] => {
    const requestsPerHost = designSize.requestsPerSecond / designSize.hosts;
    const byKeyPerHost = designSize.targetsPerHost * designSize.byKeyShare;
    const perByKeyTarget = (figure: string): number => targets[figure].slope * slopeRunHosts / slopeRunByKeyTargets;
    const pools = designSize.hosts * designSize.targetsPerHost / designSize.targetsPerPool;
    const oncePerHost = requestsPerHost * designSize.onceShare;
    const claims = oncePerHost * 2 * designSize.claimAgeSeconds;
    const cells = designSize.hosts / designSize.hostsPerCell;
    const poolsPerCell = pools / cells;
    const peerTrafficByHosts = hosts["host-peer-KB/s"];
    return [
        createRow("router", "requests", requestsPerHost, undefined, "1/s a host"),
        createRow(
            "router",
            "processor",
            requests["host-cpu-%"].slope * slopeRunHosts * requestsPerHost,
            100,
            "% of a core",
        ),
        createRow(
            "host at rest",
            "processor",
            evaluateFit(hosts["host-cpu-%"], designSize.hostsPerCell),
            bounds.cpuPercent,
            "% of a core",
        ),
        createRow(
            "host at rest",
            "memory",
            evaluateFit(hosts["host-peak-MB"], designSize.hostsPerCell),
            bounds.megabytes,
            "MB",
        ),
        createRow(
            "host, all in one mesh",
            "links",
            Math.max(0, evaluateFit(peerTrafficByHosts, designSize.hosts)),
            bounds.kilobytesPerSecond,
            "KB/s",
        ),
        createRow(
            "host, in a cell",
            "links",
            Math.max(0, evaluateFit(peerTrafficByHosts, designSize.hostsPerCell)),
            bounds.kilobytesPerSecond,
            "KB/s",
        ),
        createRow(
            "renewer",
            "processor",
            perByKeyTarget("host-cpu-%") * byKeyPerHost,
            bounds.cpuPercent,
            "% of a core",
        ),
        createRow(
            "renewer",
            "bytes to targets",
            perByKeyTarget("host-target-control-KB/s") * byKeyPerHost,
            bounds.kilobytesPerSecond,
            "KB/s",
        ),
        createRow("claim keeper", "claims kept", claims, undefined, "entries a host"),
        createRow("claim keeper", "memory", claims * claim.slope / 1e6, bounds.megabytes, "MB"),
        createRow("coordinator", "memory of tables", poolsPerCell * tableBytes / 1e6, bounds.megabytes, "MB in a cell"),
        createRow(
            "host, by slots",
            "memory at 16,384 slots a pool",
            evaluateFit(slots["host-peak-MB"], 16_384),
            bounds.megabytes,
            "MB",
        ),
        createRow(
            "relay",
            "changes",
            designSize.changesPerDay / secondsPerDay * tableBytes / 1_000,
            bounds.kilobytesPerSecond,
            "KB/s a link, every change a whole table",
        ),
        createRow(
            "platform",
            "reads, every host by itself",
            hosts["platform-reads/s"].slope * designSize.hosts,
            bounds.reads,
            "1/s",
        ),
        createRow("platform", "reads, two relays a zone", 2 * designSize.zones * 4, bounds.reads, "1/s"),
        createRow("platform", "reads, two relays a cell", 2 * cells * 4, bounds.reads, "1/s"),
        createRow("platform", "writes, a lease a pool", pools / designSize.leaseRenewalSeconds, bounds.writes, "1/s"),
        createRow("platform", "writes, a lease a cell", cells / designSize.leaseRenewalSeconds, bounds.writes, "1/s"),
        createRow(
            "platform",
            "writes of changes and replacements",
            (designSize.changesPerDay + designSize.replacementsPerDay * (3 + poolsPerCell)) / secondsPerDay,
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

const writeCapacityTables = async (): Promise<void> => {
    const names = ["slope-hosts", "slope-targets", "slope-requests", "slope-slots"];
    const [hosts, targets, requests, slots] = await Promise.all(names.map(readFits));
    const tables = measureAssignmentSizes();
    const claim = measureClaimMemory();
    const rows = createRows(hosts, targets, requests, slots, claim, tables[0].json);
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
            ["claims in memory", "heap bytes", ...[claim.intercept, claim.slope, claim.residual].map(formatNumber)],
        ]),
    );
    await writeFile(docsFile, text);
    process.stdout.write(`${rows.map(row => row.join("  ")).join("\n")}\n`);
};

await writeCapacityTables();
