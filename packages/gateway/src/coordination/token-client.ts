import {type TokenGrants, type TokenDemands} from '@chicorysaddle/protocol/coordination';
import {type PeerLink} from '../ports/index.js';

/** Timeout of a token request, in milliseconds: several round trips within a region. */
const responseTimeoutMs = 150;

/** Requests tokens from the coordinator and matches its grants to the requests. */
export class TokenClient {
	#sequence = 0;
	readonly #pendingRequests = new Map<number, (grants: TokenGrants) => void>();

	/** @param vm - Name of this VM. */
	constructor(private readonly vm: string) {}

	/** Requests tokens; resolves to undefined if no grants arrive in time. */
	async requestTokens(link: PeerLink, demands: TokenDemands): Promise<TokenGrants | undefined> {
		this.#sequence += 1;
		const sequence = this.#sequence;
		link.send({
			kind: 'token-request', vm: this.vm, sequence, wants: demands,
		});
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				this.#pendingRequests.delete(sequence);
				resolve(undefined);
			}, responseTimeoutMs);
			this.#pendingRequests.set(sequence, grants => {
				clearTimeout(timer);
				this.#pendingRequests.delete(sequence);
				resolve(grants);
			});
		});
	}

	/** Resolves the request with a sequence number; ignores grants that arrive after the timeout. */
	handleGrants(sequence: number, grants: TokenGrants): void {
		this.#pendingRequests.get(sequence)?.(grants);
	}
}
