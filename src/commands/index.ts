/**
 * The table of commands. A single file holds the whole program, so that commands are named here rather than found on
 * disk.
 */
import type { Command } from "@oclif/core";
import { RunCommand } from "./run.ts";
import { SettingsCheckCommand } from "./settings.ts";
import { TrialCommand } from "./trial.ts";

type CommandClass = typeof Command;

/** Commands by their id, words parted by colons. */
export const commands: Record<string, CommandClass> = {
    run: RunCommand as CommandClass,
    "settings:check": SettingsCheckCommand as CommandClass,
    trial: TrialCommand as CommandClass,
};

/** Groups of commands, shown in the help. */
export const topics: Record<string, string> = {
    settings: "Work with settings files.",
};
