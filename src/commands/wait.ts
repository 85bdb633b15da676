/**
 * Waits until a written version is in force on every host, and reports the progress of each host.
 */
import { z } from "zod";
import type { Clock } from "../contracts/clock.ts";
import { type HostStatus, hostStatusSchema } from "../contracts/objects.ts";
import { createSlotHash } from "../decisions/hash.ts";
import {
    type HostVersionReport,
    judgeRollout,
    type RolloutState,
    rolloutStates,
    type RolloutVerdict,
} from "../decisions/rollout.ts";
import type { PlatformLink } from "../links/platform.ts";
import { majorityHosts } from "../zones/relays.ts";
import { askHost } from "./askhost.ts";

export type WaitOptions = {
    platform: PlatformLink;
    clock: Clock;
    /** Writes one line of progress. */
    write: (line: string) => void;
    timeoutMilliseconds: number;
};

/** How far the version has come on each host when the waiting ended. `milliseconds` is the time that it took. */
export type WaitResult = { everywhere: boolean; hosts: Record<string, RolloutState>; milliseconds: number };

/** The fields of a host's answer on one object that this module uses. */
const objectStatusSchema = z.object({ incarnation: z.string(), bar: z.string().optional(), inForce: z.int() });

const pollIntervalMilliseconds = 100;
const memberReadIntervalMilliseconds = 1_000;

type AnnouncedHost = {
    name: string;
    status: Pick<HostStatus, "zone" | "incarnation" | "operatorAddress" | "isolationMilliseconds">;
};

/** Stands for an announcement that this program cannot read: the host counts as a member, but cannot be asked. */
const unreadableStatus: AnnouncedHost["status"] = {
    zone: "unknown",
    incarnation: "unknown",
    operatorAddress: "unknown",
    isolationMilliseconds: Infinity,
};

const readMembers = async (platform: PlatformLink): Promise<AnnouncedHost[]> => {
    const { items } = await platform.list(0);
    return items
        .filter(item => item.kind === "status" && !item.deleted)
        .map(({ name, value }) => ({ name, status: hostStatusSchema.safeParse(value).data ?? unreadableStatus }));
};

const askVersion = async (host: AnnouncedHost, place: string): Promise<HostVersionReport | undefined> => {
    const [kind, name] = place.split("/");
    try {
        const path = `/standing/${kind}/${encodeURIComponent(name)}`;
        const { incarnation, bar, inForce } = objectStatusSchema.parse(
            await askHost(host.status.operatorAddress, path),
        );
        return { incarnation, admits: bar === undefined, inForce };
    }
    catch {
        return undefined;
    }
};

/**
 * Waits until no host serves by an older version of the object, or until the timeout. The members are read after the
 * write, and each host is asked after that.
 *
 * @param place Kind and name of the object, such as `plans/hallam`.
 */
export const waitUntilInForce = async (place: string, version: number, options: WaitOptions): Promise<WaitResult> => {
    const { platform, clock, write } = options;
    const hash = await createSlotHash();
    const startedAt = clock.now();
    const printedStates = new Map<string, RolloutState>();
    let members = await readMembers(platform);
    let membersReadAt = clock.now();
    let majoritySince: number | undefined;

    const askAllHosts = async (): Promise<RolloutVerdict> => {
        const reports = new Map<string, HostVersionReport>();
        await Promise.all(members.map(async member => {
            const report = await askVersion(member, place);
            if (report !== undefined) {
                reports.set(member.name, report);
            }
        }));
        const zoned = members.map(({ name, status }) => ({ name, zone: status.zone }));
        return judgeRollout({
            version,
            members: members.map(({ name, status }) => ({ name, ...status })),
            majorityHosts: new Set(majorityHosts(hash, zoned).map(host => host.name)),
            words: reports,
            majoritySince,
            now: clock.now(),
        });
    };

    for (;;) {
        const verdict = await askAllHosts();
        const now = clock.now();
        if (verdict.majority) {
            majoritySince ??= now;
        }
        for (const [host, state] of verdict.states) {
            if (printedStates.get(host) !== state && (state !== rolloutStates.behind || printedStates.has(host))) {
                write(`${host} ${state}`);
            }
            printedStates.set(host, state);
        }
        const milliseconds = Math.round(now - startedAt);
        if (verdict.everywhere || milliseconds >= options.timeoutMilliseconds) {
            return { everywhere: verdict.everywhere, hosts: Object.fromEntries(verdict.states), milliseconds };
        }
        await clock.sleep(pollIntervalMilliseconds);
        if (clock.now() - membersReadAt >= memberReadIntervalMilliseconds) {
            members = await readMembers(platform).catch(() => members);
            membersReadAt = clock.now();
        }
    }
};
