import {type TokenGrants, type TokenDemands} from '@chicorysaddle/protocol/coordination';
import {type PeerLink} from '../ports/index.js';

/** Time for an answer about tokens, milliseconds: several round trips within a region. */
const responseTimeoutMs = 150;

/** Asks another VM for tokens and waits for its answers. */
export class TokenClient {
	#sequence = 0;
	readonly #pendingRequests = new Map<number, (grants: TokenGrants) => void>();

	/** @param vm - Name of this VM. */
	constructor(private readonly vm: string) {}

	/** Asks for tokens; undefined when no answer comes in time. */
	async requestTokens(link: PeerLink, wants: TokenDemands): Promise<TokenGrants | undefined> {
		this.#sequence += 1;
		const sequence = this.#sequence;
		link.send({
			kind: 'token-request', vm: this.vm, sequence, wants,
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

	/** Takes in an answer; one that came too late counts for nothing. */
	handleGrants(sequence: number, grants: TokenGrants): void {
		this.#pendingRequests.get(sequence)?.(grants);
	}
}
