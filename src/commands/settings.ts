/**
 * `carobpier settings check|show`: checks settings files and reports all findings together, or shows the settings with
 * their defaults.
 */
import { Args, Command } from "@oclif/core";
import { readFile } from "node:fs/promises";
import { stringify } from "yaml";
import { describeFinding, type Finding } from "../contracts/finding.ts";
import { type Settings, settingsSchema } from "../contracts/settings.ts";
import { readSettings } from "../links/settings.ts";
import { checkYaml } from "../links/yaml.ts";
import { exitCodes } from "./exitcodes.ts";

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
            process.exitCode = exitCodes.findings;
        }
        return { findings };
    }
}

export class SettingsShowCommand extends Command {
    static override summary = "Show the settings of a file with their defaults. Secrets are only named by their files.";
    static override examples = ["<%= config.bin %> settings show hallam.yaml"];
    static override enableJsonFlag = true;
    static override args = { file: Args.string({ required: true, description: "Settings file, YAML." }) };

    override async run(): Promise<Settings> {
        const { args } = await this.parse(SettingsShowCommand);
        const settings = await readSettings(args.file);
        this.log(stringify(settings).trimEnd());
        return settings;
    }
}
