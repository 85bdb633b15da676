/**
 * The model of versions in force, its exploration, and deliberate breaks of its rules. Each break must lead to a
 * violation, which proves that the check can fail.
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

/** Creates the model. Each read of `initial` returns a new state. */
export const createVersionModel = (rules: VersionRules): Model<VersionState, VersionEvent> => ({
    get initial() {
        return createInitialState(rules);
    },
    enabledEvents,
    nextState: (state, event) => applyEvent(state, rules, event),
    serialize: state => {
        const members = [...state.members.values()].map(({ life, view, isolation }) =>
            `${life}.${view.newest("plans", "plan")?.version}.${isolation.remaining(state.now)}`
        );
        const since = state.majoritySince === undefined ? undefined : state.now - state.majoritySince;
        return JSON.stringify([state.version, members, state.messages, since, state.concludedVersion]);
    },
    violationOf: state => state.violation,
});

/** Rules to replace. */
export const versionBreaks: Array<{ title: string; rules: Partial<VersionRules> }> = [
    {
        title: "a host accepts whatever version arrives last",
        rules: {
            accept: (...[, item]) => {
                const view = createObjectView(() => 0);
                view.accept(item);
                return view;
            },
        },
    },
    {
        title: "the wait leaves out a host that can not be reached",
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

/** Explores the model along walks with a fixed seed. */
export const runVersions = (): Report => ({
    name: "versions in force, three hosts, three versions",
    exploration: exploreSampled(createVersionModel(versionRules), sampling),
    notes: `${sampling.walks} walks of ${sampling.length} steps, seed ${sampling.seed}`,
    failure: undefined,
});
