/**
 * Interfaces that a resident host needs from the platform that it runs on. The folder `platform/` implements them and
 * translates the platform's names; every name here is the product's own.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { ReportedLoad } from "../decisions/targetload.ts";
import type { BaseCallerRequest } from "../links/callers.ts";
import type { StoreObject } from "./objectstore.ts";
import type { OwnedRange } from "./ownership.ts";
import type { RegisteredTarget, RouteTable } from "./routing.ts";

/** A caller's request with everything that routing needs. */
export type ResidentRequest = BaseCallerRequest & {
    method: string;
    /** Host name in lower case, without a port. */
    host: string;
    /** Path, including the query. */
    path: string;
    headers: IncomingHttpHeaders;
    /** IP address from which the caller connects; undefined once it has hung up. */
    callerAddress: string | undefined;
    /** Undefined when the request has no key. */
    key: number | undefined;
    /** Milliseconds on the host's monotonic clock. */
    receivedAt: number;
};

/** How a target wants to be used. */
export type TargetNotice = {
    /** Whether the target is about to end. */
    leaving: boolean;
    /**
     * Requests per second that the target takes from all hosts together; `unreadable` when it names a limit that is not
     * a number.
     */
    limitPerSecond: number | "none" | "unreadable";
    /** Time for which the target wants no requests from this host; undefined when it says nothing of that. */
    pauseMilliseconds: number | undefined;
};

/** What the status and headers of a target's answer tell. */
export type TargetAnswer = {
    /** `wrong-target`: the request did not run, because the address or the key belongs to another target. */
    outcome: "answered" | "not-run" | "wrong-target";
    /** Id of the request that was answered; undefined when the answer does not contain it. */
    requestId: string | undefined;
    /** Load of the target; undefined when the answer does not report it. */
    load: ReportedLoad | undefined;
    /** Undefined when another target may have answered. */
    notice: TargetNotice | undefined;
};

/** How requests to targets are written and their answers read. */
export type TargetProtocol = {
    /** Builds the headers of a request to a target, as alternating names and values. */
    buildRequestHeaders: (
        request: ResidentRequest,
        target: RegisteredTarget,
        remainingMilliseconds: number,
    ) => string[];
    /** Reads the status and headers of a target's answer. */
    readAnswer: (statusCode: number, headers: IncomingHttpHeaders) => TargetAnswer;
    /** Builds the headers of the answer to the caller from those of the target's answer. */
    buildAnswerHeaders: (headers: IncomingHttpHeaders) => Record<string, string | string[]>;
    /** Builds the headers of a call that asks the target for a sign of life, as alternating names and values. */
    buildCheckHeaders: (target: RegisteredTarget) => string[];
    /** Whether an answer to that call comes from the target, whatever it says of its health. */
    isAnswerOf: (target: RegisteredTarget, statusCode: number, headers: IncomingHttpHeaders) => boolean;
};

/**
 * Result of a grant or release call:
 *
 * - `higher-fence`: the target has seen a higher fence on one of the keys.
 * - `gone`: another target has the address.
 * - `unreachable`: the call certainly did not arrive.
 * - `unknown`: the call may have arrived and may still be carried out, but it can not arrive after this result.
 */
export type OwnershipCallResult =
    | { result: "done"; handover: string | undefined }
    | { result: "higher-fence" | "gone" | "unreachable" | "unknown" };

/** Grants key ranges to targets and revokes them. */
export type OwnershipLink = {
    /** Grants the range for `holdMilliseconds`, with the state that the former owner handed over, if any. */
    grant: (
        target: RegisteredTarget,
        range: Pick<OwnedRange, "from" | "to" | "fence">,
        holdMilliseconds: number,
        handover: string | undefined,
    ) => Promise<OwnershipCallResult>;
    /** Revokes the range. Resolves when the target has ended its work on the keys, at the latest after the timeout. */
    release: (
        target: RegisteredTarget,
        range: Pick<OwnedRange, "from" | "to" | "fence">,
        timeoutMilliseconds: number,
    ) => Promise<OwnershipCallResult>;
    /**
     * Returns a number that changes when another process than before may be at the target's address. Calls between which
     * it has not changed reached the same process, if any.
     */
    session: (target: RegisteredTarget) => number;
    close: () => void;
};

/** The platform's kinds of objects and their decoders. A decoder returns a text when the object is invalid. */
export type PlatformObjects = {
    tableKind: string;
    tableName: string;
    decodeTable: (object: StoreObject) => RouteTable | string;
    /** Kind of the objects that name zones whose targets are to get nothing, by their names; the values say nothing. */
    evacuationKind: string;
    targetKind: string;
    decodeTarget: (object: StoreObject) => RegisteredTarget | string;
};
