/**
 * The entry point of the program: runs the command line through oclif with a fixed table of commands.
 */
import type { Command } from "@oclif/core";
import { Config, Errors, type Interfaces, Plugin, run } from "@oclif/core";
import packageFile from "../package.json" with { type: "json" };
import { exitCodeOf } from "./commands/exitcodes.ts";
import { commands, topics } from "./commands/index.ts";
import { CarobpierError } from "./contracts/errors.ts";

const programName = "carobpier";

/** Adds its name to each flag or argument, where oclif's help reads it. */
const withNames = (table: Record<string, object>): Record<string, object> =>
    Object.fromEntries(Object.entries(table).map(([name, entry]) => [name, { ...entry, name }]));

/** oclif loads commands through plugins. This plugin provides them from the table instead of from disk. */
class TablePlugin extends Plugin {
    override async load(): Promise<void> {
        this.name = programName;
        this.version = packageFile.version;
        this.type = "core";
        this.valid = true;
        this.alreadyLoaded = true;
        this.moduleType = "commonjs";
        this.hooks = {};
        this.isRoot = true;
        this.pjson = this.options.pjson as Interfaces.PJSON;
        this.commandIDs = Object.keys(commands);
        this.manifest = { version: this.version, commands: {} };
        this.commands = this.commandIDs.map(id => {
            const commandClass = commands[id];
            return {
                ...(commandClass as unknown as Command.Loadable),
                id,
                aliases: [],
                hiddenAliases: [],
                hidden: false,
                pluginName: programName,
                pluginAlias: programName,
                pluginType: "core",
                summary: commandClass.summary,
                description: commandClass.description,
                examples: commandClass.examples,
                usage: commandClass.usage,
                strict: commandClass.strict,
                enableJsonFlag: commandClass.enableJsonFlag,
                flags: withNames({
                    ...commandClass.baseFlags,
                    ...commandClass.flags,
                }) as unknown as Command.Loadable["flags"],
                args: withNames(commandClass.args) as unknown as Command.Loadable["args"],
                load: () => Promise.resolve(this.commandOf(id)),
            };
        });
    }

    override get topics(): Interfaces.Topic[] {
        return Object.entries(topics).map(([name, description]) => ({ name, description }));
    }

    override findCommand(id: string): Promise<Command.Class> {
        return Promise.resolve(this.commandOf(id));
    }

    private commandOf(id: string): Command.Class {
        const commandClass = commands[id];
        if (commandClass === undefined) {
            throw new Errors.CLIError(`The command "${id}" does not exist.`);
        }
        commandClass.id = id;
        commandClass.plugin = this;
        return commandClass as unknown as Command.Class;
    }
}

const pjson = {
    name: programName,
    version: packageFile.version,
    description: packageFile.description,
    oclif: { bin: programName, dirname: programName, topicSeparator: " ", commands: {}, plugins: [] },
} as unknown as Interfaces.PJSON;

const start = async (): Promise<void> => {
    const root = process.cwd();
    const plugin = new TablePlugin({ root, pjson, name: programName, isRoot: true });
    await plugin.load();
    const config = new Config({ root, pjson, plugins: new Map([[programName, plugin]]) });
    await config.load();
    await run(process.argv.slice(2), config);
};

start().catch((error: unknown) => {
    if (error instanceof CarobpierError) {
        process.stderr.write(`${error.message}\n`);
        process.exitCode = exitCodeOf(error);
        return;
    }
    return Errors.handle(error as Error);
});
