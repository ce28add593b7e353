import {type parsePeerMessage, type PeerMessage} from '@chicorysaddle/protocol/coordination';

/** Handles a message from a peer; malformed messages arrive with kind `invalid`. */
export type PeerMessageHandler = (message: ReturnType<typeof parsePeerMessage>) => void;

/** Event handlers of a peer link. */
export type PeerHandlers = {
	readonly onMessage: PeerMessageHandler;
	readonly onClosed: () => void;
};

/** Connection between two VMs. */
export type PeerLink = {
	readonly isOpen: boolean;
	send(message: PeerMessage): void;
	close(): void;
};

/** Server that accepts connections from other VMs. */
export type PeerServer = {
	close(): void;
};

/** Transport between VMs. */
export type PeerNetwork = {
	/** Connects to a VM; messages can be sent before the link is open. */
	connect(address: string, handlers: PeerHandlers): PeerLink;
	/** Accepts connections on an address; `accept` is called with each link and returns its handlers. */
	listen(address: string, accept: (link: PeerLink) => PeerHandlers): Promise<PeerServer>;
};
