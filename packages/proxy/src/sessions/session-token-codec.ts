import {Buffer} from 'node:buffer';
import {
	createHmac, createSecretKey, type KeyObject, timingSafeEqual,
} from 'node:crypto';
import {type Either, Left, Right} from 'purify-ts';
import {z} from 'zod';
import {Session} from '@chicorysaddle/decisions';
import {type Refusal, refusals} from '@chicorysaddle/model';

const signatureLengthBytes = 16;
/** Maximum length of a token, in characters. */
export const maxTokenLength = 8192;

const watermarkSchema = z.tuple([z.string(), z.number().int().min(0), z.number().int().min(0), z.union([z.literal(0), z.literal(1)])]);
const tokenSchema = z.object({a: z.string(), m: z.array(watermarkSchema)});

function signPayload(payload: Uint8Array, secret: KeyObject): Uint8Array {
	return createHmac('sha256', secret).update(payload).digest().subarray(0, signatureLengthBytes);
}

/** Encodes sessions as opaque signed tokens, which any proxy with the same secret can decode. */
export class SessionTokenCodec {
	/** @param getSecret - Returns the current signing key as hexadecimal digits, or undefined if there is none. */
	constructor(private readonly getSecret: () => string | undefined) {}

	#secretText = '';
	#secretKey: KeyObject | undefined;

	/** Formats the token for a session of a client account; empty without a signing key. */
	formatToken(session: Session, account: string): string {
		const secret = this.#getSecretKey();
		if (secret === undefined) {
			return '';
		}

		const watermarks = [...session.getWatermarks()].map(([group, watermark]) => [group, watermark.position.term, watermark.position.offset, watermark.primaryOnly ? 1 : 0]);
		const payload = Buffer.from(JSON.stringify({a: account, m: watermarks}));
		return Buffer.concat([signPayload(payload, secret), payload]).toString('base64url');
	}

	/**
	 * Parses a token; refuses one that is too long, forged or issued to another client account.
	 * @param token - Token from the caller, empty for a new session.
	 * @param account - Client account of the caller.
	 */
	parseToken(token: string, account: string): Either<Refusal, Session> {
		if (token === '') {
			return Right(new Session());
		}

		const secret = this.#getSecretKey();
		if (secret === undefined || token.length > maxTokenLength) {
			return Left(refusals.invalidSession(secret === undefined ? 'cannot be checked' : 'is too long'));
		}

		const bytes = Buffer.from(token, 'base64url');
		const signature = bytes.subarray(0, signatureLengthBytes);
		const payload = bytes.subarray(signatureLengthBytes);
		if (signature.length < signatureLengthBytes || !timingSafeEqual(signature, signPayload(payload, secret))) {
			return Left(refusals.invalidSession('is not genuine'));
		}

		const {a, m} = tokenSchema.parse(JSON.parse(payload.toString('utf8')));
		return a === account
			? Right(new Session(m.map(([group, term, offset, primaryOnly]) => [group, {position: {term, offset}, primaryOnly: primaryOnly === 1}])))
			: Left(refusals.invalidSession('belongs to another client account'));
	}

	/** Returns the signing key, cached until the secret changes; undefined if there is none. */
	#getSecretKey(): KeyObject | undefined {
		const text = this.getSecret();
		if (text !== undefined && text !== this.#secretText) {
			this.#secretText = text;
			this.#secretKey = createSecretKey(text, 'hex');
		}

		return text === undefined ? undefined : this.#secretKey;
	}
}
