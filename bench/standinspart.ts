/**
 * Worker process of the bench that runs the stand-ins of a customer's targets, or the stand-in of the platform.
 */
import type { StoredObject } from "../src/contracts/objects.ts";
import { createPlatformStandIn, type PlatformFaults, type PlatformRecords } from "../stand-ins/platform.ts";
import type { PlatformStandIn } from "../stand-ins/platform.ts";
import { createTargetStandIn, type TargetRecords, type TargetStandIn } from "../stand-ins/target.ts";
import type { TargetStandInOptions } from "../stand-ins/target.ts";
import type { TargetFaults } from "../stand-ins/targetfaults.ts";
import { answerParentMessages } from "./children.ts";

export type StandInsQuestion =
    | { kind: "start-platform"; objects: Array<Pick<StoredObject, "kind" | "name" | "value">> }
    | { kind: "start-targets"; targets: TargetStandInOptions[] }
    | { kind: "write"; object: Pick<StoredObject, "kind" | "name" | "value"> }
    | { kind: "platform-faults"; faults: Partial<PlatformFaults> }
    | { kind: "target-faults"; target: string; faults: Partial<TargetFaults> }
    | { kind: "forget-runs" }
    | { kind: "records" };

export type StandInsAnswer = {
    platformUrl?: string;
    targets?: Array<{ name: string; address: string }>;
    platformRecords?: PlatformRecords;
    targetRecords?: TargetRecords[];
};

const targets: TargetStandIn[] = [];
let platform: PlatformStandIn | undefined;

const answer = async (question: StandInsQuestion): Promise<StandInsAnswer> => {
    switch (question.kind) {
        case "start-platform":
            platform = await createPlatformStandIn();
            for (const { kind, name, value } of question.objects) {
                platform.write(kind, name, value);
            }
            return { platformUrl: platform.url };
        case "start-targets":
            targets.push(...await Promise.all(question.targets.map(createTargetStandIn)));
            return { targets: targets.map(({ name, address }) => ({ name, address })) };
        case "write":
            platform?.write(question.object.kind, question.object.name, question.object.value);
            return {};
        case "platform-faults":
            platform?.changeFaults(question.faults);
            return {};
        case "target-faults":
            await targets.find(({ name }) => name === question.target)?.changeFaults(question.faults);
            return {};
        case "forget-runs":
            targets.forEach(target => target.executions.splice(0));
            return {};
        case "records":
            return { platformRecords: platform?.records(), targetRecords: targets.map(target => target.records()) };
    }
};

answerParentMessages(answer);
