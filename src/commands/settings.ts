/**
 * `carobpier settings check`: checks settings files and reports all findings together.
 */
import { Args, Command } from "@oclif/core";
import { readFile } from "node:fs/promises";
import { describeFinding, type Finding } from "../contracts/finding.ts";
import { settingsSchema } from "../contracts/settings.ts";
import { checkYaml } from "../links/settings.ts";

const findingsExitCode = 1;

export class SettingsCheckCommand extends Command {
    static override summary = "Check settings files and list every finding with its place.";
    static override examples = ["<%= config.bin %> settings check hallam.yaml"];
    static override enableJsonFlag = true;
    static override strict = false;
    static override args = { file: Args.string({ required: true, description: "Settings file, YAML." }) };

    override async run(): Promise<{ findings: Finding[] }> {
        const { argv } = await this.parse(SettingsCheckCommand);
        const findings: Finding[] = [];
        for (const file of argv as string[]) {
            const text = await readFile(file, "utf8");
            findings.push(...checkYaml(file, text, settingsSchema).findings);
        }
        findings.forEach(finding => this.log(describeFinding(finding)));
        if (findings.length > 0) {
            process.exitCode = findingsExitCode;
        }
        return { findings };
    }
}
