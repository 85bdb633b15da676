/**
 * The router admits callers' requests, finds the target entitled to the key, sends the request there and says with
 * certainty what became of it.
 */
import { noOwner } from "../contracts/assignment.ts";
import type { Clock } from "../contracts/clock.ts";
import { callerHeaders, type Reason } from "../contracts/outcome.ts";
import { divisions, type Pool, type Route, routeKinds, type Target } from "../contracts/pool.ts";
import { targetAnswerHeaders, targetRefusals, targetRequestHeaders } from "../contracts/targetprotocol.ts";
import type { Currency } from "../decisions/currency.ts";
import { allowanceRefusal, planOfCaller, routeOf } from "../decisions/gate.ts";
import type { SlotHash } from "../decisions/hash.ts";
import type { CallerAnswer, CallerRequest } from "../links/callers.ts";
import type { TargetAnswer } from "../links/targets.ts";
import type { ObjectView } from "./objects.ts";
import { noteEnded, noteReading, noteSent, type TargetViews } from "./target.ts";

export type RouterOptions = {
    objects: ObjectView;
    views: TargetViews;
    currency: Currency;
    slotHash: SlotHash;
    clock: Clock;
    /** Counts a request that goes to the owner of the slot. */
    countLoad: (pool: string, slot: number, key: string) => void;
};

export type Router = { serve: (request: CallerRequest) => Promise<CallerAnswer> };

type Place = { target: Target; slot: number; revision: number };

const refusal = (reason: Reason, detail: string): CallerAnswer => ({ kind: "refusal", reason, detail });

const isRefusal = (value: Place | CallerAnswer): value is CallerAnswer => "kind" in value;

/** Headers that belong to one connection and are not passed on. */
const hopHeaders = new Set(["connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "host"]);

const forwardedHeaders = (request: CallerRequest): Record<string, string> => {
    const headers: Record<string, string> = {};
    for (const [name, value] of Object.entries(request.headers)) {
        const own = name === "authorization" || name === "content-length" || name.startsWith("carobpier-");
        if (typeof value === "string" && !own && !hopHeaders.has(name)) {
            headers[name] = value;
        }
    }
    return headers;
};

const answerHeaders = (answer: TargetAnswer): Record<string, string> => {
    const headers: Record<string, string> = {};
    for (const [name, value] of Object.entries(answer.headers)) {
        const own = name.startsWith("target-") || name.startsWith("carobpier-") || name === "request-id";
        if (typeof value === "string" && !own && !hopHeaders.has(name)) {
            headers[name] = value;
        }
    }
    return headers;
};

/** Reasons for a target's own word that it did not run the request. */
const refusalReasons: Record<string, Reason> = {
    [targetRefusals.fence]: "fence-refused",
    [targetRefusals.noGrant]: "fence-refused",
    [targetRefusals.shed]: "target-shed",
    [targetRefusals.draining]: "target-draining",
    [targetRefusals.deadline]: "deadline-unreachable",
    [targetRefusals.cancelled]: "cancelled",
};

const neverConnectedCodes = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT", "EHOSTUNREACH", "ENETUNREACH"]);

/** Creates the router of one host. */
export const createRouter = (options: RouterOptions): Router => {
    const { objects, views, currency, slotHash, clock } = options;

    const placeByKey = (poolName: string, pool: Pool, key: string): Place | CallerAnswer => {
        const assignment = objects.get("assignments", poolName)?.value;
        if (assignment === undefined) {
            return refusal("no-owner", `Pool "${poolName}" has no assignment yet.`);
        }
        if (!currency.isCurrent(poolName, assignment.revision, clock.now())) {
            return refusal("not-current", `Revision ${assignment.revision} of pool "${poolName}" is not confirmed.`);
        }
        const slot = slotHash(key, pool.slotCount);
        const owner = assignment.owners[slot] ?? noOwner;
        const name = assignment.hotKeys.find(hot => hot.key === key)?.target ?? assignment.targets[owner];
        const target = pool.targets.find(candidate => candidate.name === name);
        if (target === undefined) {
            return refusal("no-owner", `No target owns slot ${slot} of pool "${poolName}".`);
        }
        options.countLoad(poolName, slot, key);
        return { target, slot, revision: assignment.revision };
    };

    const placeAnywhere = (poolName: string, pool: Pool): Place | CallerAnswer => {
        let best: Target | undefined;
        let least = Infinity;
        for (const target of pool.targets) {
            const load = (views.of(poolName, target).outstanding + 1) / target.speed;
            if (load < least) {
                least = load;
                best = target;
            }
        }
        return best === undefined
            ? refusal("no-target", `Pool "${poolName}" has no targets.`)
            : { target: best, slot: 0, revision: 0 };
    };

    const send = async (request: CallerRequest, poolName: string, place: Place): Promise<CallerAnswer> => {
        const view = views.of(poolName, place.target);
        const left = Math.max(1, Math.round(request.deadlineAt - clock.now()));
        const limit = AbortSignal.timeout(left);
        view.outstanding += 1;
        noteSent(view, place.revision);
        try {
            const answer = await view.link.request({
                method: request.method,
                path: request.path,
                headers: {
                    ...forwardedHeaders(request),
                    [targetRequestHeaders.requestId]: request.id,
                    [targetRequestHeaders.pool]: poolName,
                    [targetRequestHeaders.revision]: String(place.revision),
                    [targetRequestHeaders.slot]: String(place.slot),
                    [targetRequestHeaders.key]: request.key ?? "",
                    [targetRequestHeaders.deadline]: String(left),
                },
                body: request.body,
            }, AbortSignal.any([limit, request.signal]));
            return await conclude(request, poolName, place, answer);
        }
        catch (error) {
            const code = (error as { code?: string }).code ?? "";
            if (neverConnectedCodes.has(code)) {
                return refusal("connect-failed", `Target "${place.target.name}" did not accept a connection.`);
            }
            return limit.aborted
                ? refusal("timed-out", `Target "${place.target.name}" did not answer in time.`)
                : refusal("connection-lost", `The connection to target "${place.target.name}" broke.`);
        }
        finally {
            view.outstanding -= 1;
            noteEnded(view, place.revision);
        }
    };

    const conclude = async (
        request: CallerRequest,
        poolName: string,
        place: Place,
        answer: TargetAnswer,
    ): Promise<CallerAnswer> => {
        const incarnation = answer.headers[targetAnswerHeaders.incarnation];
        const reading = Number(answer.headers[targetAnswerHeaders.clock]);
        if (typeof incarnation === "string" && Number.isFinite(reading)) {
            noteReading(views.of(poolName, place.target), incarnation, reading);
        }
        if (answer.headers[targetAnswerHeaders.requestId] !== request.id) {
            answer.body.destroy();
            return refusal("answer-mismatched", `Target "${place.target.name}" answered another request.`);
        }
        if (answer.headers[targetAnswerHeaders.outcome] === "not-run") {
            answer.body.resume();
            const why = String(answer.headers[targetAnswerHeaders.refusal]);
            return refusal(refusalReasons[why] ?? "target-shed", `Target "${place.target.name}" refused: ${why}.`);
        }
        return { kind: "answer", statusCode: answer.statusCode, headers: answerHeaders(answer), body: answer.body };
    };

    const refusedAtGate = (request: CallerRequest, pool: Pool, route: Route | undefined): CallerAnswer | undefined => {
        const plans = objects.list("plans").map(({ name, value }) => ({ name, plan: value }));
        const caller = planOfCaller(request.headers.authorization, plans);
        if (caller === undefined) {
            return refusal("unknown-caller", "The bearer token belongs to no plan.");
        }
        if (route === undefined) {
            return refusal("unknown-route", `No route of pool "${request.pool}" matches ${request.method}.`);
        }
        const allowance = objects.get("allowances", caller.name)?.value;
        const reason = allowanceRefusal(allowance, request.pool, route.name, request.key);
        if (reason !== undefined) {
            return refusal(reason, `Plan "${caller.name}" does not allow this use of pool "${request.pool}".`);
        }
        if (pool.division === divisions.byKey && request.key === undefined) {
            return refusal("missing-key", `Pool "${request.pool}" is divided by key: send ${callerHeaders.key}.`);
        }
        if (route.kind === routeKinds.once && request.idempotencyKey === undefined) {
            return refusal("missing-id", `Route "${route.name}" runs once: send ${callerHeaders.idempotencyKey}.`);
        }
        return undefined;
    };

    return {
        serve: async request => {
            const pool = objects.get("pools", request.pool)?.value;
            if (pool === undefined) {
                return refusal("unknown-pool", `Pool "${request.pool}" does not exist.`);
            }
            const refused = refusedAtGate(request, pool, routeOf(pool, request.method, request.path));
            if (refused !== undefined) {
                return refused;
            }
            const place = pool.division === divisions.byKey
                ? placeByKey(request.pool, pool, request.key ?? "")
                : placeAnywhere(request.pool, pool);
            return isRefusal(place) ? place : send(request, request.pool, place);
        },
    };
};
