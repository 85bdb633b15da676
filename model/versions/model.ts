/**
 * The specification of versions in force, ready to be walked, and the breaks that prove that its check can fail.
 */
import { judgeRollout } from "../../src/decisions/rollout.ts";
import { createObjectView } from "../../src/machines/objects.ts";
import { exploreSampled, type Model } from "../explore.ts";
import type { Report } from "../report.ts";
import {
    applyEvent,
    createInitialState,
    enabledEvents,
    type VersionEvent,
    type VersionRules,
    versionRules,
    type VersionState,
} from "./transitions.ts";

/** Creates the model. Each walk begins with a new world. */
export const createVersionModel = (rules: VersionRules): Model<VersionState, VersionEvent> => ({
    get initial() {
        return createInitialState(rules);
    },
    enabledEvents: enabledEvents,
    nextState: (world, event) => applyEvent(world, rules, event),
    serialize: world => {
        const members = [...world.members.values()].map(({ life, view, isolation }) =>
            `${life}.${view.newest("plans", "plan")?.version}.${isolation.remaining(world.now)}`
        );
        const since = world.majoritySince === undefined ? undefined : world.now - world.majoritySince;
        return JSON.stringify([world.version, members, world.messages, since, world.concludedVersion]);
    },
    violationOf: world => world.violation,
});

export const versionBreaks: Array<{ title: string; rules: Partial<VersionRules> }> = [
    {
        title: "a host takes whatever version comes last",
        rules: {
            accept: (...[, item]) => {
                const view = createObjectView(() => 0);
                view.accept(item);
                return view;
            },
        },
    },
    {
        title: "a host that can not be reached is not waited for",
        rules: {
            judge: view =>
                judgeRollout({ ...view, members: view.members.filter(member => view.words.has(member.name)) }),
        },
    },
    {
        title: "the wait is shorter than the isolation",
        rules: {
            judge: view =>
                judgeRollout({
                    ...view,
                    members: view.members.map(member => ({ ...member, isolationMilliseconds: 0 })),
                }),
        },
    },
    {
        title: "a confirmation counts from its answer",
        rules: { confirmedFrom: (sentAt, receivedAt) => Math.max(sentAt, receivedAt) },
    },
    { title: "a restarted host admits before it is confirmed", rules: { admitsAtStart: true } },
];

const sampling = { seed: 3_000, walks: 4_000, length: 50 };

/** Walks the specification with fixed seeds. */
export const runVersions = (): Report => ({
    name: "versions in force, three hosts, three versions",
    exploration: exploreSampled(createVersionModel(versionRules), sampling),
    notes: `${sampling.walks} walks of ${sampling.length} steps, seed ${sampling.seed}`,
    failure: undefined,
});
