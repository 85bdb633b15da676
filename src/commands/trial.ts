/**
 * `carobpier trial`: runs the whole request path in one process, with embedded stand-ins for the platform and the
 * targets.
 */
import { Command, Flags } from "@oclif/core";
import { runTrial, type TrialResult } from "../../bench/trial.ts";

/** Exit code when a pool broke one of the checked guarantees or answered no request. */
const failedTrialExitCode = 1;

export class TrialCommand extends Command {
    static override summary = "Run the whole request path in one process, on embedded stand-ins.";
    static override examples = ["<%= config.bin %> trial --seconds 10 --seed 1"];
    static override enableJsonFlag = true;
    static override flags = {
        seconds: Flags.integer({ default: 10, min: 1, max: 3_600, summary: "Duration of the load, in seconds." }),
        seed: Flags.integer({ default: 1, summary: "Seed of the generated load." }),
    };

    override async run(): Promise<TrialResult> {
        const { flags } = await this.parse(TrialCommand);
        const result = await runTrial({
            seconds: flags.seconds,
            seed: flags.seed,
            write: line => this.log(line),
        });
        if (!result.kept) {
            process.exitCode = failedTrialExitCode;
        }
        return result;
    }
}
