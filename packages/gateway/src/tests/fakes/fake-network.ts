import {formatPeerMessage, parsePeerMessage, type PeerMessage} from '@chicorysaddle/protocol/coordination';
import {
	type PeerHandlers, type PeerLink, type PeerListening, type PeerNetwork,
} from '../../ports/index.js';

const delayMs = 2;

/** Carries messages between VMs in memory, unless they are cut off. */
export class FakeSwitch {
	readonly listeners = new Map<string, (link: PeerLink) => PeerHandlers>();
	/** VMs that cannot send to or receive from any other. */
	readonly cut = new Set<string>();
	/** Messages sent by all VMs. */
	sent = 0;
}

/** One end of a link. */
class FakeLink implements PeerLink {
	isOpen = true;
	other: FakeLink | undefined;
	handlers: PeerHandlers | undefined;

	constructor(private readonly network: FakeSwitch, private readonly from: string, private readonly to: string) {}

	send(message: PeerMessage): void {
		const text = formatPeerMessage(message);
		this.network.sent += 1;
		setTimeout(() => {
			if (this.isOpen && this.other?.isOpen === true && !this.network.cut.has(this.from) && !this.network.cut.has(this.to)) {
				this.other.handlers?.onMessage(parsePeerMessage(text.trimEnd()));
			}
		}, delayMs);
	}

	close(): void {
		if (this.isOpen) {
			this.isOpen = false;
			this.handlers?.onClosed();
			// A cut swallows the close like anything else.
			if (!this.network.cut.has(this.from) && !this.network.cut.has(this.to)) {
				this.other?.close();
			}
		}
	}
}

/** The network as one VM has it; addresses are names of VMs with a port. */
export class FakeNetwork implements PeerNetwork {
	constructor(private readonly vm: string, private readonly network: FakeSwitch) {}

	connect(address: string, handlers: PeerHandlers): PeerLink {
		const to = address.split(':')[0]!;
		const near = new FakeLink(this.network, this.vm, to);
		near.handlers = handlers;
		const accept = this.network.listeners.get(address);
		if (accept === undefined) {
			setTimeout(() => {
				near.close();
			}, delayMs);
			return near;
		}

		const far = new FakeLink(this.network, to, this.vm);
		near.other = far;
		far.other = near;
		far.handlers = accept(far);
		return near;
	}

	async listen(address: string, accept: (link: PeerLink) => PeerHandlers): Promise<PeerListening> {
		this.network.listeners.set(address, accept);
		return {
			close: () => {
				this.network.listeners.delete(address);
			},
		};
	}
}
