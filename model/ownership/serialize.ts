/**
 * Serializes states, so that two states with the same text are the same. Times are relative to now and are cut off
 * where no rule can tell them apart, so that states that differ only in absolute time are the same.
 */
import type { Assignment } from "../../src/contracts/assignment.ts";
import { evidenceOf, releaseTimeOf } from "./release.ts";
import {
    type Evidence,
    type GrantMessage,
    type Host,
    moveId,
    type Specification,
    type State,
    type Target,
} from "./state.ts";

const assignmentTexts = new WeakMap<Assignment, string>();

const describeAssignment = (assignment: Assignment | undefined): string => {
    if (assignment === undefined) {
        return "-";
    }
    const known = assignmentTexts.get(assignment);
    if (known !== undefined) {
        return known;
    }
    const { revision, owners, hotKeys, moves, renewers, formerRenewers, witnesses, formerWitnesses } = assignment;
    const text = JSON.stringify([
        revision,
        owners,
        hotKeys,
        moves,
        renewers,
        formerRenewers,
        witnesses,
        formerWitnesses,
    ]);
    assignmentTexts.set(assignment, text);
    return text;
};

/** Creates the serialization of the states of one specification. It caches texts, so it is used for one model. */
export const createStateSerializer = (specification: Specification): (state: State) => string => {
    const { size, rules } = specification;
    const { timeToLiveMilliseconds, freshnessMilliseconds, longestDeadlineMilliseconds } = size.timing;
    const wait = longestDeadlineMilliseconds;
    const longest = timeToLiveMilliseconds + freshnessMilliseconds + longestDeadlineMilliseconds;
    const renewers = new Set([...Object.values(size.renewers), ...Object.values(size.otherRenewers)].flat());
    const texts = new Map<string, number>();

    /** A number that stands for a text, to keep the texts of states short. */
    const intern = (text: string): number => {
        const known = texts.get(text);
        if (known !== undefined) {
            return known;
        }
        texts.set(text, texts.size);
        return texts.size - 1;
    };

    /** A time relative to now, cut off at `oldest` before now. */
    const relativeTime = (now: number, time: number | undefined, oldest: number): number | "-" =>
        time === undefined ? "-" : Math.max(-oldest, time - now);

    /** What the evidence allows for the moves that are not released. No rule uses anything else of it. */
    const describeEvidence = (host: Host, now: number): string => {
        const { assignment, evidence, released } = host;
        if (assignment === undefined) {
            return "";
        }
        const hasTime = (times: Evidence["finished"], revision: number): string =>
            size.hosts.filter(name => times[name]?.[revision] !== undefined).join();
        let text = "";
        for (const move of assignment.moves) {
            const moveEvidence = evidenceOf(host, move);
            if (released.includes(moveId(move)) || moveEvidence === undefined) {
                continue;
            }
            const ended = size.checksGrants
                ? rules.renewalsEndedBelow(move.since, move.from, assignment, moveEvidence, size.timing)
                : rules.lapsedBelow(move.since, assignment, moveEvidence, size.timing);
            const release = releaseTimeOf(specification, host, move);
            text += `${hasTime(evidence.acknowledged, move.since)}/${
                relativeTime(now, ended, size.checksGrants ? 1 : wait)
            }`;
            text += `/${relativeTime(now, release, 0)}/${hasTime(evidence.finished, move.since)};`;
        }
        if (assignment.formerRenewers !== undefined || assignment.formerWitnesses !== undefined) {
            text += hasTime(evidence.acknowledged, assignment.revision);
        }
        return text;
    };

    const describeHost = (name: string, host: Host, now: number): string => {
        const {
            startedAt,
            announcedAt,
            record,
            assignment,
            pendingRead: read,
            voucherRound: round,
            released,
            outstanding,
        } = host;
        const usesValidUntil = size.hostsShareKnowledge || !size.checksGrants || renewers.has(name);
        const usesAges = size.hostsShareKnowledge;
        const readSince = announcedAt !== undefined && record.platformReadAt !== undefined
            && record.platformReadAt > announcedAt;
        const parts = [
            record.revision,
            assignment?.revision,
            usesValidUntil ? relativeTime(now, record.validUntil, 0) : "",
            usesAges ? relativeTime(now, record.platformReadAt, longest + 1) : record.platformReadAt !== undefined,
            usesAges
                ? relativeTime(now, startedAt, longest)
                : size.checksGrants
                ? ""
                : relativeTime(now, startedAt, wait),
            announcedAt !== undefined,
            readSince,
            read === undefined
                ? "-"
                : `${read.assignment.revision}@${relativeTime(now, read.sentAt, freshnessMilliseconds)}`,
            round === undefined
                ? "-"
                : `${round.vouchers.join()}@${relativeTime(now, round.sentAt, freshnessMilliseconds)}`,
            released.join(),
            outstanding.join(),
        ];
        if (size.coordinators.includes(name)) {
            parts.push(describeEvidence(host, now), size.checksGrants ? "" : host.evidence.routers?.join() ?? "-");
        }
        return parts.join();
    };

    const describeTarget = (target: Target, now: number): string => {
        const { incarnation, held, running } = target;
        if (held === undefined) {
            return `${incarnation}`;
        }
        const { revision, validUntil, slots, keys, exceptKeys } = held;
        const content = `${[...slots].join()}/${[...keys].join()}/${[...exceptKeys].join()}`;
        return `${incarnation}.${revision}@${relativeTime(now, validUntil, 0)}${content}${running.join()}`;
    };

    const describeGrant = (grant: GrantMessage, now: number): string => {
        const { from, target, revision, incarnation, validUntil, slots, keys, exceptKeys } = grant;
        const content = `${slots.join()}/${keys.join()}/${exceptKeys.join()}`;
        return `${from}>${target}${revision}.${incarnation}@${relativeTime(now, validUntil, 0)}${content}`;
    };

    /** Caches the text of a part until the time changes, as most steps leave most parts as they are. */
    const memoize = <Part extends object>(describe: (part: Part, now: number) => string) => {
        const known = new WeakMap<Part, { now: number; text: string }>();
        return (part: Part, now: number): string => {
            const held = known.get(part);
            if (held?.now === now) {
                return held.text;
            }
            const text = describe(part, now);
            known.set(part, { now, text });
            return text;
        };
    };
    const hostTexts = new Map(size.hosts.map(name => [
        name,
        memoize((host: Host, now) => describeHost(name, host, now)),
    ]));
    const targetText = memoize(describeTarget);
    const grantText = memoize(describeGrant);
    const historyText = memoize((history: readonly Assignment[]) =>
        `${intern(history.map(describeAssignment).join("|"))}`
    );

    return state => {
        const { now } = state;
        const parts: string[] = [
            historyText(state.history, 0),
            `${state.announced.join()},${state.hostRestarts},${state.targetRestarts},${state.violation ?? ""}`,
        ];
        for (const name of size.coordinators) {
            const write = state.writes[name];
            parts.push(write === undefined ? "-" : `${intern(describeAssignment(write.assignment))}`);
        }
        for (const name of size.hosts) {
            parts.push(hostTexts.get(name)?.(state.hosts[name], now) ?? "");
        }
        for (const name of size.targets) {
            parts.push(targetText(state.targets[name], now));
        }
        for (const grant of state.grants) {
            parts.push(grantText(grant, now));
        }
        for (const request of state.requests) {
            const isOld = request.life !== state.hosts[request.host].startedAt;
            parts.push(`${request.host}${isOld ? "*" : ""}>${request.target}@${relativeTime(now, request.until, 0)}`);
        }
        return parts.join(" ");
    };
};
