/**
 * Messages between the tasks of hosts. A message to this host itself goes through the same handlers as one to another
 * host, so that a task need not know on which host its counterpart runs.
 */
import type { Message, MessageKind, MessageOf } from "../contracts/messages.ts";
import type { HostLinks, MessageHandler } from "../links/hosts.ts";
import type { Log } from "../links/logs.ts";

export type Peers = Pick<HostLinks, "tell" | "ask" | "handle" | "connected">;

/** Adds delivery to this host itself to its links. `connected` still returns only the other hosts. */
export const createPeers = (self: string, links: Peers, log: Log): Peers => {
    const handlers = new Map<MessageKind, MessageHandler<MessageKind>>();

    const deliver = async (message: Message): Promise<Message | undefined> => {
        try {
            return await handlers.get(message.kind)?.(self, message as MessageOf<MessageKind>);
        }
        catch (error) {
            log.error("peer-message-failed", { peer: self, error: String(error) });
            return undefined;
        }
    };

    return {
        connected: links.connected,
        tell: (host, message) => {
            if (host !== self) {
                return links.tell(host, message);
            }
            void deliver(message);
            return true;
        },
        ask: (host, message, timeoutMilliseconds) =>
            host === self ? deliver(message) : links.ask(host, message, timeoutMilliseconds),
        handle: (kind, handler) => {
            handlers.set(kind, handler as unknown as MessageHandler<MessageKind>);
            links.handle(kind, handler);
        },
    };
};
