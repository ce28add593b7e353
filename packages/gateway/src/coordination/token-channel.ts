import {type TokenGrants, type TokenDemands} from '@chicorysaddle/protocol/coordination';
import {type PeerLink} from '../ports/index.js';

/** Time for an answer about tokens, milliseconds: several round trips within a region. */
const answerTimeoutMs = 150;

/** Asks another VM for tokens and waits for its answers. */
export class TokenChannel {
	#sequence = 0;
	readonly #waiting = new Map<number, (grants: TokenGrants) => void>();

	/** @param vm - Name of this VM. */
	constructor(private readonly vm: string) {}

	/** Asks for tokens; undefined when no answer comes in time. */
	async request(link: PeerLink, wants: TokenDemands): Promise<TokenGrants | undefined> {
		this.#sequence += 1;
		const sequence = this.#sequence;
		link.send({
			kind: 'token-request', vm: this.vm, sequence, wants,
		});
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				this.#waiting.delete(sequence);
				resolve(undefined);
			}, answerTimeoutMs);
			this.#waiting.set(sequence, grants => {
				clearTimeout(timer);
				this.#waiting.delete(sequence);
				resolve(grants);
			});
		});
	}

	/** Takes in an answer; one that came too late counts for nothing. */
	receive(sequence: number, grants: TokenGrants): void {
		this.#waiting.get(sequence)?.(grants);
	}
}
