/**
 * The text by which two states are known to be the same. Times count from now and end where no rule can tell them
 * apart any more, so that states that differ only in their date are one.
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

/** Creates the serialization of the states of one specification. */
export const createStateSerializer = (specification: Specification): (state: State) => string => {
    const { size, rules } = specification;
    const { timeToLiveMilliseconds, freshnessMilliseconds, longestDeadlineMilliseconds } = size.timing;
    const wait = longestDeadlineMilliseconds;
    const longest = timeToLiveMilliseconds + freshnessMilliseconds + longestDeadlineMilliseconds;
    const renewers = new Set([...Object.values(size.renewers), ...Object.values(size.otherRenewers)].flat());
    const texts = new Map<string, number>();

    /** A short name for a text that occurs often. */
    const nameOf = (text: string): number => {
        const known = texts.get(text);
        if (known !== undefined) {
            return known;
        }
        texts.set(text, texts.size);
        return texts.size - 1;
    };

    const since = (now: number, time: number | undefined, oldest: number): number | "-" =>
        time === undefined ? "-" : Math.max(-oldest, time - now);

    /** What the evidence allows of the moves that are not released; nothing else of it is ever used. */
    const describeEvidence = (host: Host, now: number): string => {
        const { assignment, evidence, released } = host;
        if (assignment === undefined) {
            return "";
        }
        const hasTime = (times: Evidence["finished"], revision: number): string =>
            size.hosts.filter(name => times[name]?.[revision] !== undefined).join();
        let text = "";
        for (const move of assignment.moves) {
            const seen = evidenceOf(host, move);
            if (released.includes(moveId(move)) || seen === undefined) {
                continue;
            }
            const ended = size.checksGrants
                ? rules.renewalsEndedBelow(move.since, move.from, assignment, seen, size.timing)
                : rules.lapsedBelow(move.since, assignment, seen, size.timing);
            const release = releaseTimeOf(specification, host, move);
            text += `${hasTime(evidence.acknowledged, move.since)}/${since(now, ended, size.checksGrants ? 1 : wait)}`;
            text += `/${since(now, release, 0)}/${hasTime(evidence.finished, move.since)};`;
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
        const usesUntil = size.hostsShareKnowledge || !size.checksGrants || renewers.has(name);
        const usesAges = size.hostsShareKnowledge;
        const readSince = announcedAt !== undefined && record.platformReadAt !== undefined
            && record.platformReadAt > announcedAt;
        const parts = [
            record.revision,
            assignment?.revision,
            usesUntil ? since(now, record.validUntil, 0) : "",
            usesAges ? since(now, record.platformReadAt, longest + 1) : record.platformReadAt !== undefined,
            usesAges ? since(now, startedAt, longest) : size.checksGrants ? "" : since(now, startedAt, wait),
            announcedAt !== undefined,
            readSince,
            read === undefined ? "-" : `${read.assignment.revision}@${since(now, read.sentAt, freshnessMilliseconds)}`,
            round === undefined ? "-" : `${round.vouchers.join()}@${since(now, round.sentAt, freshnessMilliseconds)}`,
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
        return `${incarnation}.${revision}@${since(now, validUntil, 0)}${content}${running.join()}`;
    };

    const describeGrant = (grant: GrantMessage, now: number): string => {
        const { from, target, revision, incarnation, validUntil, slots, keys, exceptKeys } = grant;
        const content = `${slots.join()}/${keys.join()}/${exceptKeys.join()}`;
        return `${from}>${target}${revision}.${incarnation}@${since(now, validUntil, 0)}${content}`;
    };

    /** Most steps leave most parts as they are, so the text of a part is kept until the time changes. */
    const remember = <Part extends object>(describe: (part: Part, now: number) => string) => {
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
        remember((host: Host, now) => describeHost(name, host, now)),
    ]));
    const targetText = remember(describeTarget);
    const grantText = remember(describeGrant);
    const historyText = remember((history: readonly Assignment[]) =>
        `${nameOf(history.map(describeAssignment).join("|"))}`
    );

    return state => {
        const { now } = state;
        const parts: string[] = [
            historyText(state.history, 0),
            `${state.announced.join()},${state.hostRestarts},${state.targetRestarts},${state.violation ?? ""}`,
        ];
        for (const name of size.coordinators) {
            const write = state.writes[name];
            parts.push(write === undefined ? "-" : `${nameOf(describeAssignment(write.assignment))}`);
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
            parts.push(`${request.host}${isOld ? "*" : ""}>${request.target}@${since(now, request.until, 0)}`);
        }
        return parts.join(" ");
    };
};
