import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {type Either, Left, Right} from 'purify-ts';
import {type Configuration, type Refusal, refusals} from '@chicorysaddle/model';

/** Who sent a request; only a hash of the key is kept. */
export type CallerIdentity = {
	readonly account: string;
	/** Hash of the key, empty on a route open to all. */
	readonly keyHash: string;
};

/** Account that requests without a key on open routes are counted under. */
export const anonymousAccount = 'open';

/** Returns the hash under which a key is stored. */
export function hashKey(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

/** Says whether two hashes are equal, in time that does not depend on where they differ. */
export function isSameHash(a: string, b: string): boolean {
	return a.length === b.length && timingSafeEqual(Buffer.from(a), Buffer.from(b));
}

/** Returns the token of an Authorization header. */
export function getBearerToken(authorization: string): string | undefined {
	const prefix = 'bearer ';
	return authorization.toLowerCase().startsWith(prefix) ? authorization.slice(prefix.length).trim() : undefined;
}

/** What the gate asks of the state of this VM. */
export type AuthenticationState = {
	readonly configuration: Configuration;
	/** Whether the configuration may be used now. */
	isFresh(): boolean;
	getAgeMs(): number;
};

/** Lets requests through for the account whose key came with them, while the view of the keys is fresh. */
export class CallerAuthenticator {
	constructor(private readonly state: AuthenticationState) {}

	/**
	 * Identifies the sender of a request.
	 * @param authorization - The Authorization header.
	 * @param isAnonymousAllowed - Whether the route is open to all.
	 */
	authenticateCaller(authorization: string, isAnonymousAllowed: boolean): Either<Refusal, CallerIdentity> {
		if (!this.state.isFresh()) {
			return Left(refusals.staleView(this.state.getAgeMs()));
		}

		const key = getBearerToken(authorization);
		if (key === undefined || key === '') {
			return isAnonymousAllowed ? Right({account: anonymousAccount, keyHash: ''}) : Left(refusals.missingKey());
		}

		const identity = {account: '', keyHash: hashKey(key)};
		const account = this.state.configuration.getAccountByKeyHash(identity.keyHash);
		return account === undefined ? Left(refusals.unknownKey()) : this.checkIdentity({...identity, account});
	}

	/** Checks again, just before a request is handed on, that it may still run. */
	checkIdentity(identity: CallerIdentity): Either<Refusal, CallerIdentity> {
		if (!this.state.isFresh()) {
			return Left(refusals.staleView(this.state.getAgeMs()));
		}

		if (identity.keyHash === '') {
			return Right(identity);
		}

		const account = this.state.configuration.getAccountByKeyHash(identity.keyHash);
		const isValid = account === identity.account && this.state.configuration.getAccount(identity.account) !== undefined;
		return isValid ? Right(identity) : Left(refusals.unknownKey());
	}
}
