import {type Codec, type Either, Left} from 'purify-ts';

/** Maximum length of the reason why a value is invalid, in characters. */
const maxReasonLength = 300;

/** Decodes a value from outside; never throws: purify-ts describes what is wrong with all of the value, which fails for one that is nested deeply. */
export function decodeValue<T>(codec: Codec<T>, value: unknown): Either<string, T> {
	try {
		return codec.decode(value).mapLeft(reason => reason.slice(0, maxReasonLength));
	} catch (error) {
		return Left(String(error).slice(0, maxReasonLength));
	}
}
