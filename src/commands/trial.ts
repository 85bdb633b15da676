/**
 * `carobpier trial`: runs the whole path in one process on embedded stand-ins.
 */
import { Command, Flags } from "@oclif/core";
import { runTrial, type TrialResult } from "../../bench/trial.ts";

const brokenPromiseExitCode = 1;

export class TrialCommand extends Command {
    static override summary = "Run the whole path in one process on embedded stand-ins.";
    static override examples = ["<%= config.bin %> trial --seconds 10 --seed 1"];
    static override enableJsonFlag = true;
    static override flags = {
        seconds: Flags.integer({ default: 10, min: 1, max: 3_600, summary: "Length of the load." }),
        seed: Flags.integer({ default: 1, summary: "Seed of the load." }),
    };

    override async run(): Promise<TrialResult> {
        const { flags } = await this.parse(TrialCommand);
        const result = await runTrial({
            seconds: flags.seconds,
            seed: flags.seed,
            write: line => this.log(line),
        });
        if (!result.kept) {
            process.exitCode = brokenPromiseExitCode;
        }
        return result;
    }
}
