/**
 * The table of commands. The program is built into a single file, so the commands are listed here instead of being
 * found on disk.
 */
import type { Command } from "@oclif/core";
import { objectCommands } from "./objects.ts";
import { RunCommand } from "./run.ts";
import { SettingsCheckCommand, SettingsShowCommand } from "./settings.ts";
import { StandInPlatformCommand, StandInTargetCommand } from "./standins.ts";
import { StatusCommand } from "./status.ts";
import { TrialCommand } from "./trial.ts";

type CommandClass = typeof Command;

/** Commands by id. The words of an id are separated by colons. */
export const commands: Record<string, CommandClass> = {
    ...objectCommands,
    run: RunCommand as CommandClass,
    "settings:check": SettingsCheckCommand as CommandClass,
    "settings:show": SettingsShowCommand as CommandClass,
    "stand-in:platform": StandInPlatformCommand as CommandClass,
    "stand-in:target": StandInTargetCommand as CommandClass,
    status: StatusCommand as CommandClass,
    trial: TrialCommand as CommandClass,
};

/** Descriptions of the groups of commands, shown in the help. */
export const topics: Record<string, string> = {
    allowance: "Edit the pools that each plan may use.",
    plan: "Edit the customers' plans.",
    pool: "Edit the pools of targets.",
    settings: "Work with settings files.",
    "stand-in": "Start stand-ins of the platform and of targets.",
};
