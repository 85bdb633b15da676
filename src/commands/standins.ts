/**
 * `carobpier stand-in platform|target`: starts a stand-in on loopback, for manual tests.
 */
import { Command, Flags } from "@oclif/core";
import { createPlatformStandIn } from "../../stand-ins/platform.ts";
import { createTargetStandIn } from "../../stand-ins/target.ts";

/** Resolves at the first SIGTERM or SIGINT. */
const waitForStopSignal = (): Promise<void> =>
    new Promise(resolve => {
        process.once("SIGTERM", resolve);
        process.once("SIGINT", resolve);
    });

export class StandInPlatformCommand extends Command {
    static override summary = "Start a stand-in of the platform on loopback.";
    static override examples = ["<%= config.bin %> stand-in platform --port 8090"];
    static override flags = { port: Flags.integer({ default: 8_090, summary: "Port to listen on." }) };

    override async run(): Promise<void> {
        const { flags } = await this.parse(StandInPlatformCommand);
        const platform = await createPlatformStandIn({ port: flags.port });
        this.log(`The platform listens at ${platform.url}.`);
        await waitForStopSignal();
        await platform.close();
    }
}

export class StandInTargetCommand extends Command {
    static override summary = "Start a stand-in of a target on loopback.";
    static override examples = ["<%= config.bin %> stand-in target --name orders-1 --port 8091 --concurrency 3"];
    static override flags = {
        name: Flags.string({ required: true, summary: "Name of the target." }),
        port: Flags.integer({ default: 8_091, summary: "Port to listen on." }),
        concurrency: Flags.integer({ default: 3, min: 1, summary: "Number of requests that run at the same time." }),
        connections: Flags.integer({ default: 120, min: 1, summary: "Number of connections that are accepted." }),
        "service-milliseconds": Flags.integer({
            default: 2,
            min: 0,
            summary: "Time that a request takes, in milliseconds.",
        }),
        unchecked: Flags.boolean({ summary: "Serve requests for owned keys without a grant." }),
        "any-key": Flags.boolean({ summary: "The pool is not divided by key." }),
    };

    override async run(): Promise<void> {
        const { flags } = await this.parse(StandInTargetCommand);
        const target = await createTargetStandIn({
            name: flags.name,
            port: flags.port,
            checksGrants: !flags.unchecked,
            byKey: !flags["any-key"],
            concurrency: flags.concurrency,
            connections: flags.connections,
            serviceMilliseconds: flags["service-milliseconds"],
        });
        this.log(`The target "${flags.name}" listens at ${target.address}.`);
        await waitForStopSignal();
        await target.close();
    }
}
