/**
 * `carobpier run`: starts an entry host, which serves until a signal stops it.
 */
import { Command, Flags } from "@oclif/core";
import { InputError, messageOf } from "../contracts/errors.ts";
import { catchExceptions } from "../links/exceptions.ts";
import { createLog } from "../links/logs.ts";
import { createMetrics } from "../links/metrics.ts";
import { readSecret, readSettings } from "../links/settings.ts";
import { createHost } from "../machines/host.ts";

/** Resolves at the first SIGTERM or SIGINT. A second signal ends the process at once with exit code 1. */
const waitForStopSignal = (): Promise<void> =>
    new Promise(resolve => {
        let isStopping = false;
        const onSignal = (): void => {
            if (isStopping) {
                process.exit(1);
            }
            isStopping = true;
            resolve();
        };
        process.on("SIGTERM", onSignal);
        process.on("SIGINT", onSignal);
    });

export class RunCommand extends Command {
    static override summary = "Start an entry host.";
    static override description = "SIGTERM stops it gracefully and exits 0; a second signal ends it at once.";
    static override examples = ["<%= config.bin %> run --settings hallam.yaml"];
    static override flags = {
        settings: Flags.string({ char: "s", required: true, summary: "Settings file, YAML." }),
    };

    override async run(): Promise<void> {
        const { flags } = await this.parse(RunCommand);
        const settings = await readSettings(flags.settings);
        if (settings.peers.keyFiles.length === 0) {
            throw new InputError(`${flags.settings} peers.keyFiles: expected at least one file, found none.`);
        }
        const peerKeys = await Promise.all(settings.peers.keyFiles.map(file => readSecret(flags.settings, file)));
        const { tokenFile } = settings.platform;
        const token = tokenFile === undefined ? undefined : await readSecret(flags.settings, tokenFile);
        const log = createLog({ level: settings.logs.level }).child({ host: settings.host.name });
        const metrics = createMetrics(settings.metrics);
        catchExceptions(log, metrics);
        const stop = new AbortController();
        const stopSignal = waitForStopSignal().then(() => stop.abort());
        const platformToken = token?.toString("utf8");
        const startSignal = stop.signal;
        const start = createHost({ settings, peerKeys, platformToken, log, metrics, startSignal });
        const host = await start.catch((error: unknown) => {
            if (!startSignal.aborted) {
                throw error;
            }
            log.info("program-stopped-at-start", { error: messageOf(error) });
        });
        await stopSignal;
        await host?.stop();
        await metrics.close();
    }
}
