/**
 * `carobpier settings check|show`: checks settings files and reports all findings together, or shows the settings of a
 * file with their defaults.
 */
import { Args, Command, Flags } from "@oclif/core";
import { readFile } from "node:fs/promises";
import { stringify } from "yaml";
import { describeFinding, type Finding } from "../contracts/finding.ts";
import { residentSettingsSchema } from "../contracts/residentsettings.ts";
import { type Settings, settingsSchema } from "../contracts/settings.ts";
import { readSettings } from "../links/settings.ts";
import { checkYaml } from "../links/yaml.ts";
import { exitCodes } from "./exitcodes.ts";

export class SettingsCheckCommand extends Command {
    static override summary = "Check settings files and list every finding with its line and path.";
    static override examples = [
        "<%= config.bin %> settings check hallam.yaml",
        "<%= config.bin %> settings check --resident node.yaml",
    ];
    static override flags = {
        resident: Flags.boolean({ default: false, summary: "The files are settings of resident hosts." }),
    };
    static override enableJsonFlag = true;
    static override strict = false;
    static override args = { file: Args.string({ required: true, description: "Settings file, YAML." }) };

    override async run(): Promise<{ findings: Finding[] }> {
        const { argv, flags } = await this.parse(SettingsCheckCommand);
        const schema = flags.resident ? residentSettingsSchema : settingsSchema;
        const findings: Finding[] = [];
        for (const file of argv as string[]) {
            const text = await readFile(file, "utf8");
            findings.push(...checkYaml<unknown>(file, text, schema).findings);
        }
        findings.forEach(finding => this.log(describeFinding(finding)));
        if (findings.length > 0) {
            process.exitCode = exitCodes.findings;
        }
        return { findings };
    }
}

export class SettingsShowCommand extends Command {
    static override summary =
        "Show the settings of a file with their defaults. Of secrets it shows only the names of their files.";
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
