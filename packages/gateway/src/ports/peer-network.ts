import {type parsePeerMessage, type PeerMessage} from '@chicorysaddle/protocol/coordination';

/** Called with each message; an invalid one is passed on as such. */
export type PeerMessageHandler = (message: ReturnType<typeof parsePeerMessage>) => void;

/** What listens on a connection between two VMs. */
export type PeerHandlers = {
	readonly onMessage: PeerMessageHandler;
	readonly onClosed: () => void;
};

/** A connection between two VMs. */
export type PeerLink = {
	readonly isOpen: boolean;
	send(message: PeerMessage): void;
	close(): void;
};

/** A listener for other VMs. */
export type PeerServer = {
	close(): void;
};

/** Connects VMs. */
export type PeerNetwork = {
	/** Connects to a VM; the link may be used before it is open. */
	connect(address: string, handlers: PeerHandlers): PeerLink;
	/** Takes connections; `accept` returns what listens on each. */
	listen(address: string, accept: (link: PeerLink) => PeerHandlers): Promise<PeerServer>;
};
