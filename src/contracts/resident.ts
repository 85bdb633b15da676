/**
 * What a resident host asks of the platform that it runs on. The platform's folder translates; every name here is the
 * product's own.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { ReportedLoad } from "../decisions/targetload.ts";
import type { BaseCallerRequest } from "../links/callers.ts";
import type { StoreObject } from "./objectstore.ts";
import type { OwnedRange } from "./ownership.ts";
import type { RegisteredTarget, RouteTable } from "./routing.ts";

/** A caller's request with all that routing needs. */
export type ResidentRequest = BaseCallerRequest & {
    method: string;
    /** Host name in lower case, without a port. */
    host: string;
    /** Path with its query. */
    path: string;
    headers: IncomingHttpHeaders;
    /** Undefined when the request names none. */
    key: number | undefined;
    receivedAt: number;
};

/** What a target's answer says besides its body. */
export type TargetAnswer = {
    /** `wrong-target`: not run, since the address or the key belongs to another target. */
    outcome: "answered" | "not-run" | "wrong-target";
    /** Id of the request that the answer belongs to; undefined when it does not say. */
    requestId: string | undefined;
    /** Undefined when it does not tell. */
    load: ReportedLoad | undefined;
};

export type TargetProtocol = {
    /** Names and values in turn. */
    requestHeaders: (request: ResidentRequest, target: RegisteredTarget, remainingMilliseconds: number) => string[];
    readAnswer: (statusCode: number, headers: IncomingHttpHeaders) => TargetAnswer;
    /** A target's headers for the caller. */
    answerHeaders: (headers: IncomingHttpHeaders) => Record<string, string | string[]>;
};

/**
 * What became of a grant or release: `higher-fence`, the target has seen a newer fence on one of the keys; `gone`,
 * another target has the address; `unreachable`, certainly not arrived; `unknown`, it may have arrived, or may yet be
 * carried out, but not have arrived later than now.
 */
export type OrderResult =
    | { result: "done"; handover: string | undefined }
    | { result: "higher-fence" | "gone" | "unreachable" | "unknown" };

export type OwnershipLink = {
    grant: (
        target: RegisteredTarget,
        range: Pick<OwnedRange, "from" | "to" | "fence">,
        holdMilliseconds: number,
        handover: string | undefined,
    ) => Promise<OrderResult>;
    /** Answers when the work on the keys has ended, at most after the time given. */
    release: (
        target: RegisteredTarget,
        range: Pick<OwnedRange, "from" | "to" | "fence">,
        timeoutMilliseconds: number,
    ) => Promise<OrderResult>;
    close: () => void;
};

/** Decoders of what the platform's own kinds hold. Text tells what is wrong. */
export type PlatformObjects = {
    tableKind: string;
    tableName: string;
    decodeTable: (object: StoreObject) => RouteTable | string;
    targetKind: string;
    decodeTarget: (object: StoreObject) => RegisteredTarget | string;
};
