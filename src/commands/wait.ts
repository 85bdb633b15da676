/**
 * Waiting until a written version is in force everywhere, with progress per host.
 */
import { request } from "undici";
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

export type WaitOptions = {
    platform: PlatformLink;
    clock: Clock;
    write: (line: string) => void;
    timeoutMilliseconds: number;
};

export type WaitResult = { everywhere: boolean; hosts: Record<string, RolloutState>; milliseconds: number };

const standingSchema = z.object({ incarnation: z.string(), bar: z.string().optional(), inForce: z.int() });

const askMilliseconds = 1_000;
const pauseMilliseconds = 100;
const membersMilliseconds = 1_000;

type AnnouncedHost = {
    name: string;
    status: Pick<HostStatus, "zone" | "incarnation" | "operatorAddress" | "isolationMilliseconds">;
};

/** A host whose announcement this program can not read counts, and can not be asked. */
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

const askHost = async (host: AnnouncedHost, place: string): Promise<HostVersionReport | undefined> => {
    const [kind, name] = place.split("/");
    try {
        const url = `http://${host.status.operatorAddress}/standing/${kind}/${encodeURIComponent(name)}`;
        const answer = await request(url, { signal: AbortSignal.timeout(askMilliseconds) });
        const { incarnation, bar, inForce } = standingSchema.parse(await answer.body.json());
        return { incarnation, admits: bar === undefined, inForce };
    }
    catch {
        return undefined;
    }
};

/**
 * Waits until no host serves by an older version of the object, or the time is up. The members are read after the
 * write, and each host is asked after that.
 */
export const waitUntilInForce = async (place: string, version: number, options: WaitOptions): Promise<WaitResult> => {
    const { platform, clock, write } = options;
    const hash = await createSlotHash();
    const startedAt = clock.now();
    const shown = new Map<string, RolloutState>();
    let members = await readMembers(platform);
    let membersReadAt = clock.now();
    let majoritySince: number | undefined;

    const judge = async (): Promise<RolloutVerdict> => {
        const words = new Map<string, HostVersionReport>();
        await Promise.all(members.map(async member => {
            const word = await askHost(member, place);
            if (word !== undefined) {
                words.set(member.name, word);
            }
        }));
        const zoned = members.map(({ name, status }) => ({ name, zone: status.zone }));
        return judgeRollout({
            version,
            members: members.map(({ name, status }) => ({ name, ...status })),
            majorityHosts: new Set(majorityHosts(hash, zoned).map(host => host.name)),
            words,
            majoritySince,
            now: clock.now(),
        });
    };

    for (;;) {
        const verdict = await judge();
        const now = clock.now();
        if (verdict.majority) {
            majoritySince ??= now;
        }
        for (const [host, state] of verdict.states) {
            if (shown.get(host) !== state && (state !== rolloutStates.behind || shown.has(host))) {
                write(`${host} ${state}`);
            }
            shown.set(host, state);
        }
        const milliseconds = Math.round(now - startedAt);
        if (verdict.everywhere || milliseconds >= options.timeoutMilliseconds) {
            return { everywhere: verdict.everywhere, hosts: Object.fromEntries(verdict.states), milliseconds };
        }
        await clock.sleep(pauseMilliseconds);
        if (clock.now() - membersReadAt >= membersMilliseconds) {
            members = await readMembers(platform).catch(() => members);
            membersReadAt = clock.now();
        }
    }
};
