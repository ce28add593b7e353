import {formatPeerMessage, parsePeerMessage, type PeerMessage} from '@chicorysaddle/protocol/coordination';
import {
	type PeerHandlers, type PeerLink, type PeerServer, type PeerNetwork,
} from '../../ports/index.js';

/** Delay of each message and of a refused connection, in milliseconds. */
const linkDelayMs = 2;

/** In-memory network between VMs; isolated VMs send and receive nothing. */
export class FakeSwitch {
	readonly listeners = new Map<string, (link: PeerLink) => PeerHandlers>();
	/** VMs that are partitioned from all others. */
	readonly isolatedVms = new Set<string>();
	/** Number of messages sent by all VMs. */
	sentMessages = 0;
	/** Returns the time that a message takes, in milliseconds; tests replace it to limit the bandwidth. */
	computeDelayMs: (from: string, to: string, length: number) => number = () => linkDelayMs;
	/** Returns a message as it arrives, undefined if it is lost; tests replace it to observe and change messages. */
	convertMessage: (from: string, to: string, message: PeerMessage) => PeerMessage | undefined = (_from, _to, message) => message;
	/** Called with each message that is sent, as text; returns what arrives instead. */
	rewriteMessage: (text: string, from: string) => string = text => text;
	/** Runs what a message or the end of a link causes at a VM; tests replace it to delay that. */
	runAt: (vm: string, callback: () => void) => void = (_vm, callback) => {
		callback();
	};

	/** Kinds of the messages sent by all VMs, in order. */
	readonly kinds: string[] = [];
	/** Pairs `FROM TO` of VMs in whose direction messages are lost. */
	readonly cutDirections = new Set<string>();
	/** Open links by the VM at their end. */
	readonly #links = new Map<string, Set<FakeLink>>();

	/** Records a link end of a VM. */
	addLink(vm: string, link: FakeLink): void {
		const links = this.#links.get(vm) ?? new Set();
		links.add(link);
		this.#links.set(vm, links);
	}

	/** Closes all links of a VM, as the end of its process does. */
	closeLinks(vm: string): void {
		for (const link of this.#links.get(vm) ?? []) {
			link.close();
		}

		this.#links.delete(vm);
	}

	/** Closes the ends of links whose other end was closed unnoticed, as the probes of connections do. */
	closeHalfOpenLinks(): void {
		for (const links of this.#links.values()) {
			for (const link of links) {
				if (link.remote?.isOpen === false) {
					link.close();
				}

				if (!link.isOpen) {
					links.delete(link);
				}
			}
		}
	}

	/** Counts the sent messages whose kind begins with a prefix. */
	countMessages(prefix: string): number {
		return this.kinds.filter(kind => kind.startsWith(prefix)).length;
	}

	/** Returns whether messages from one VM to another are lost. */
	isCut(from: string, to: string): boolean {
		return this.isolatedVms.has(from) || this.isolatedVms.has(to) || this.cutDirections.has(`${from} ${to}`);
	}
}

/** One end of a peer link. */
class FakeLink implements PeerLink {
	isOpen = true;
	remote: FakeLink | undefined;
	handlers: PeerHandlers | undefined;

	constructor(private readonly network: FakeSwitch, private readonly from: string, private readonly to: string) {}

	send(message: PeerMessage): void {
		this.network.sentMessages += 1;
		this.network.kinds.push(message.kind);
		const converted = this.network.convertMessage(this.from, this.to, message);
		if (converted === undefined) {
			return;
		}

		const text = this.network.rewriteMessage(formatPeerMessage(converted), this.from);
		setTimeout(() => {
			if (this.isOpen && this.remote?.isOpen === true && !this.network.isCut(this.from, this.to)) {
				const {handlers} = this.remote;
				this.network.runAt(this.to, () => {
					handlers?.onMessage(parsePeerMessage(text.trimEnd()));
				});
			}
		}, this.network.computeDelayMs(this.from, this.to, text.length));
	}

	close(): void {
		if (this.isOpen) {
			this.isOpen = false;
			this.network.runAt(this.from, () => {
				this.handlers?.onClosed();
			});
			// A partition drops the close like any other packet.
			if (!this.network.isCut(this.from, this.to)) {
				this.remote?.close();
			}
		}
	}
}

/** Peer network of one VM; an address is a VM name with a port. */
export class FakeNetwork implements PeerNetwork {
	constructor(private readonly vm: string, private readonly network: FakeSwitch) {}

	connect(address: string, handlers: PeerHandlers): PeerLink {
		const to = address.split(':')[0]!;
		const localEnd = new FakeLink(this.network, this.vm, to);
		localEnd.handlers = handlers;
		this.network.addLink(this.vm, localEnd);
		const accept = this.network.listeners.get(address);
		if (accept === undefined) {
			setTimeout(() => {
				localEnd.close();
			}, linkDelayMs);
			return localEnd;
		}

		const remoteEnd = new FakeLink(this.network, to, this.vm);
		this.network.addLink(to, remoteEnd);
		localEnd.remote = remoteEnd;
		remoteEnd.remote = localEnd;
		remoteEnd.handlers = accept(remoteEnd);
		return localEnd;
	}

	async listen(address: string, accept: (link: PeerLink) => PeerHandlers): Promise<PeerServer> {
		this.network.listeners.set(address, accept);
		return {
			close: () => {
				this.network.listeners.delete(address);
			},
		};
	}
}
