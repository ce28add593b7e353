import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {type Either, Left, Right} from 'purify-ts';
import {type Configuration, type Refusal, refusals} from '@chicorysaddle/model';

/** The sender of a request, with the hash of its API key instead of the key itself. */
export type CallerIdentity = {
	readonly account: string;
	/** SHA-256 hash of the API key, empty for an anonymous caller. */
	readonly keyHash: string;
};

/** Account name that anonymous requests are counted under. */
export const anonymousAccount = 'open';

/** Returns the SHA-256 hash of a key or token, as hexadecimal digits. */
export function hashKey(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

/** Returns whether two hashes are equal; the comparison takes constant time for hashes of equal length. */
export function isSameHash(a: string, b: string): boolean {
	return a.length === b.length && timingSafeEqual(Buffer.from(a), Buffer.from(b));
}

/** Returns the bearer token of an `Authorization` header, or undefined if the header is empty or has another scheme. */
export function getBearerToken(authorization: string): string | undefined {
	const prefix = 'bearer ';
	return authorization.toLowerCase().startsWith(prefix) ? authorization.slice(prefix.length).trim() : undefined;
}

/** State of this VM that authentication depends on. */
export type AuthenticationState = {
	readonly configuration: Configuration;
	/** Returns whether the configuration is fresh enough to be used. */
	isFresh(): boolean;
	/** Returns the age of the configuration, in milliseconds; infinity before the first sync. */
	getAgeMs(): number;
};

/** Authenticates callers by API key; refuses every request while the configuration is stale, since a key may have been withdrawn. */
export class CallerAuthenticator {
	constructor(private readonly state: AuthenticationState) {}

	/**
	 * Authenticates the sender of a request.
	 * @param authorization - Value of the `Authorization` header, empty for none.
	 * @param isAnonymousAllowed - Whether the route may be called without an API key.
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

	/** Checks an authenticated caller again, just before its request is sent to an endpoint. */
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
