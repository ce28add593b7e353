import {type PeerHandlers, type PeerLink, type PeerNetwork} from '../../ports/index.js';

/** Wraps a network so that it closes a link whose message handler fails with a planned error, as the TCP network does. */
export function createErrorClosingNetwork(network: PeerNetwork): PeerNetwork {
	return {
		connect(address, handlers) {
			const link: PeerLink = network.connect(address, closeAfterError(handlers, () => link));
			return link;
		},
		listen: async (address, accept) => network.listen(address, link => closeAfterError(accept(link), () => link)),
	};
}

function closeAfterError({onMessage, onClosed}: PeerHandlers, getLink: () => PeerLink): PeerHandlers {
	return {
		onMessage(message) {
			try {
				onMessage(message);
			} catch (error) {
				if (!String(error).includes('planned')) {
					throw error;
				}

				getLink().close();
			}
		},
		onClosed,
	};
}
