/**
 * `carobpier status`: shows every host, and for every object the accepted version and the version in force on each
 * host.
 */
import { Flags } from "@oclif/core";
import { z } from "zod";
import { InputError } from "../contracts/errors.ts";
import { describeFinding, type Finding } from "../contracts/finding.ts";
import { type HostStatus, hostStatusSchema, type ObjectKind, type StoredObject } from "../contracts/objects.ts";
import type { PlatformLink } from "../links/platform.ts";
import { askHost } from "./askhost.ts";
import { exitCodes } from "./exitcodes.ts";
import { readReferenceFindings } from "./objectoperations.ts";
import { OperatorCommand, platformFlags } from "./operator.ts";
import { formatRows, type Row } from "./rows.ts";

/** The fields of a host's `/status` answer that this command uses. */
const reportSchema = z.object({
    host: z.string(),
    zone: z.string(),
    incarnation: z.string(),
    state: z.string(),
    inFlight: z.number(),
    objects: z.array(z.object({
        kind: z.string(),
        name: z.string(),
        version: z.int(),
        inForce: z.int(),
        deleted: z.boolean(),
        since: z.number(),
    })),
    fleet: z.object({
        bar: z.string().optional(),
        relay: z.boolean(),
        freshMilliseconds: z.number(),
        members: z.array(z.object({ name: z.string(), operatorAddress: z.string(), state: z.string() })),
    }),
    findings: z.array(z.custom<Finding>()),
});
type Report = z.infer<typeof reportSchema>;

export type SystemStatus = {
    /** Whether the platform was read; otherwise accepted versions are the newest that the hosts have accepted. */
    platform: boolean;
    hosts: Row[];
    objects: Array<{
        object: string;
        accepted: number;
        everywhere: boolean;
        hosts: Array<{ host: string; inForce: number; since: string }>;
    }>;
    /** Names of the hosts that do not admit requests or cannot be reached. */
    cutOff: string[];
    findings: string[];
};

const shownKinds: ReadonlySet<string> = new Set<ObjectKind>(["plans", "allowances", "pools", "assignments"]);

const askReport = async (address: string): Promise<Report | undefined> => {
    try {
        return reportSchema.parse(await askHost(address, "/status"));
    }
    catch {
        return undefined;
    }
};

/** Operators' addresses of the hosts by name, and accepted objects by `kind/name`. */
type KnownState = { addresses: Map<string, string>; accepted: Map<string, StoredObject>; platform: boolean };

const readPlatform = async (platform: PlatformLink): Promise<KnownState> => {
    const known: KnownState = { addresses: new Map(), accepted: new Map(), platform: true };
    for (const item of (await platform.list(0)).items) {
        if (shownKinds.has(item.kind)) {
            known.accepted.set(`${item.kind}/${item.name}`, item);
        }
        if (item.kind === "status" && !item.deleted) {
            const status: HostStatus | undefined = hostStatusSchema.safeParse(item.value).data;
            known.addresses.set(item.name, status?.operatorAddress ?? "unknown");
        }
    }
    return known;
};

/** The hosts that one host knows, for when the platform is unreachable. Accepted objects stay empty. */
const readFromHost = async (address: string): Promise<KnownState> => {
    const report = await askReport(address);
    if (report === undefined) {
        throw new InputError(`The host at ${address} does not answer.`);
    }
    const addresses = new Map(report.fleet.members.map(member => [member.name, member.operatorAddress]));
    return { addresses: addresses.set(report.host, address), accepted: new Map(), platform: false };
};

const hostRow = (name: string, report: Report | undefined): Row => ({
    host: name,
    zone: report?.zone ?? "-",
    state: report?.state ?? "unreachable",
    admits: report === undefined ? "unknown" : report.fleet.bar ?? "yes",
    relay: report?.fleet.relay ?? "-",
    platform: report === undefined ? "-" : report.fleet.freshMilliseconds > 0 ? "fresh" : "out",
    inFlight: report?.inFlight ?? "-",
    findings: report?.findings.length ?? "-",
});

const objectStatus = (
    accepted: KnownState["accepted"],
    reports: Map<string, Report | undefined>,
): SystemStatus["objects"] => {
    const places = new Set(accepted.keys());
    const answered = [...reports.values()].filter(report => report !== undefined);
    const reportedObjects = answered.flatMap(report => report.objects.filter(object => shownKinds.has(object.kind)));
    reportedObjects.forEach(object => places.add(`${object.kind}/${object.name}`));
    return [...places].sort().map(place => {
        const copies = reportedObjects.filter(object => `${object.kind}/${object.name}` === place);
        const newest = Math.max(accepted.get(place)?.version ?? 0, ...copies.map(object => object.version));
        const hosts = answered.map(report => {
            const object = report.objects.find(item => `${item.kind}/${item.name}` === place);
            const since = object === undefined ? "-" : new Date(object.since).toISOString();
            return { host: report.host, inForce: object?.inForce ?? 0, since };
        });
        return { object: place, accepted: newest, everywhere: hosts.every(host => host.inForce >= newest), hosts };
    });
};

/**
 * Reads the status of the system: the hosts from the platform, or, when `hostAddress` is given, from that host, for
 * when the platform is unreachable. Then every host is asked for its own status.
 *
 * @throws `InputError` when the host at `hostAddress` does not answer.
 */
export const readSystemStatus = async (
    platform: PlatformLink | undefined,
    hostAddress: string | undefined,
): Promise<SystemStatus> => {
    const known = hostAddress === undefined && platform !== undefined
        ? await readPlatform(platform)
        : await readFromHost(hostAddress ?? "");
    const addresses = [...known.addresses].sort(([left], [right]) => (left < right ? -1 : 1));
    const reports = new Map(
        await Promise.all(addresses.map(async ([name, address]) => [name, await askReport(address)] as const)),
    );
    const hostFindings = [...reports.values()].flatMap(report => report?.findings ?? []).map(describeFinding);
    const references = known.platform && platform !== undefined ? await readReferenceFindings(platform) : [];
    return {
        platform: known.platform,
        hosts: [...reports].map(([name, report]) => hostRow(name, report)),
        objects: objectStatus(known.accepted, reports),
        cutOff: [...reports].filter(([, report]) => report === undefined || report.fleet.bar !== undefined)
            .map(([name]) => name),
        findings: [...new Set([...hostFindings, ...references.map(describeFinding)])],
    };
};

const objectRow = ({ object, accepted, everywhere, hosts }: SystemStatus["objects"][number]): Row => ({
    object,
    accepted,
    inForce: everywhere
        ? "everywhere"
        : `behind on ${
            hosts.filter(host => host.inForce < accepted).map(host => `${host.host} (${host.inForce})`).join(" ")
        }`,
    since: hosts.map(host => host.since).sort().at(-1) ?? "-",
});

const statusFlags = {
    ...platformFlags,
    host: Flags.string({ summary: "Operators' address of a host to ask instead of the platform." }),
};

export class StatusCommand extends OperatorCommand {
    static override summary = "Show every host, and the versions in force on each.";
    static override description =
        `Exits ${exitCodes.notInForce} when a host is cut off or behind, and ${exitCodes.platform} when the platform `
        + "does not answer. Pass --host to ask a host instead.";
    static override examples = [
        "<%= config.bin %> status --settings hallam.yaml",
        "<%= config.bin %> status --host 10.0.0.7:8082 --json",
    ];
    static override flags = statusFlags;

    override async run(): Promise<SystemStatus> {
        const { flags } = await this.parse(StatusCommand);
        const status = flags.host === undefined
            ? await this.withPlatform(flags, platform => readSystemStatus(platform, undefined))
            : await readSystemStatus(undefined, flags.host);
        const { isTTY } = process.stdout;
        formatRows(status.hosts, isTTY).forEach(line => this.log(line));
        formatRows(status.objects.map(objectRow), isTTY).forEach(line => this.log(line));
        status.findings.forEach(line => this.log(`finding: ${line}`));
        status.cutOff.forEach(host => this.log(`cut off: ${host} does not admit or does not answer.`));
        const settled = status.cutOff.length === 0 && status.objects.every(object => object.everywhere);
        process.exitCode = settled ? exitCodes.done : exitCodes.notInForce;
        return status;
    }
}
