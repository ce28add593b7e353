import {type PeerMessage} from '@chicorysaddle/protocol/coordination';
import {type PeerHandlers, type PeerLink, type PeerNetwork} from '../ports/index.js';
import {type BackgroundTasks} from './background-tasks.js';

/** Link of a connection that could not be begun. */
const closedLink: PeerLink = {
	isOpen: false,
	send() {
		// Nothing is sent on a closed link.
	},
	close() {
		// The link is closed already.
	},
};

/** Wraps a network so that a connection that causes an error is a closed link. An error in a message handler is left to the network, which closes the link. */
export function createContainedNetwork(network: PeerNetwork, tasks: BackgroundTasks): PeerNetwork {
	const contain = ({onMessage, onClosed}: PeerHandlers): PeerHandlers => ({onMessage, onClosed: createClosedHandler(tasks, onClosed)});
	return {
		connect(address, handlers) {
			const contained = contain(handlers);
			try {
				const link = new ContainedLink(network.connect(address, contained), tasks);
				link.onClosed = contained.onClosed;
				return link;
			} catch (error) {
				tasks.recordFailure('peer connection', error);
				setImmediate(contained.onClosed);
				return closedLink;
			}
		},
		listen: async (address, accept) => network.listen(address, link => {
			const containedLink = new ContainedLink(link, tasks);
			const contained = contain(accept(containedLink));
			containedLink.onClosed = contained.onClosed;
			return contained;
		}),
	};
}

/** Creates the handler of the end of a link, which is called once. */
function createClosedHandler(tasks: BackgroundTasks, onClosed: () => void): () => void {
	let isClosed = false;
	return tasks.createCallback('end of a peer link', () => {
		if (!isClosed) {
			isClosed = true;
			onClosed();
		}
	});
}

/** Link that is closed by the first error that it causes. */
class ContainedLink implements PeerLink {
	#isFailed = false;
	/** Called if the link cannot be closed, in place of its own event. */
	onClosed: (() => void) | undefined;

	constructor(private readonly link: PeerLink, private readonly tasks: BackgroundTasks) {}

	get isOpen(): boolean {
		return !this.#isFailed && this.link.isOpen;
	}

	send(message: PeerMessage): void {
		const isSent = this.#isFailed || this.tasks.tryCall('peer message', () => {
			this.link.send(message);
		});
		if (!isSent) {
			this.#isFailed = true;
			this.close();
		}
	}

	close(): void {
		const isClosed = this.tasks.tryCall('end of a peer link', () => {
			this.link.close();
		});
		if (!isClosed) {
			this.#isFailed = true;
			this.onClosed?.();
		}
	}
}
