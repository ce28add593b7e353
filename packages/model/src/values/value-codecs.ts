import {
	array, Codec, type Either, Left, number, Right, string,
} from 'purify-ts';

function createNumberCodec(expected: string, isValid: (value: number) => boolean): Codec<number> {
	return Codec.custom<number>({
		// Messages between VMs consist of numbers for the most part, so a valid one is decoded in one step.
		decode: (value): Either<string, number> => typeof value === 'number' && isValid(value) ? Right(value) : number.decode(value).chain(decoded => Left(`Expected ${expected}, but received a number with value ${decoded}`)),
		encode: value => value,
	});
}

/** Codec of a finite number. */
export const finiteNumberCodec = createNumberCodec('a finite number', value => Number.isFinite(value));

/** Codec of a whole number from zero that is represented exactly. */
export const countCodec = createNumberCodec('a whole number from zero', value => Number.isSafeInteger(value) && value >= 0);

/** Codec of a whole number from one that is represented exactly. */
export const positiveCountCodec = createNumberCodec('a whole number from one', value => Number.isSafeInteger(value) && value >= 1);

/** Codec of a finite number from zero, up to the largest whole number that is represented exactly. */
export const quantityCodec = createNumberCodec('a finite number from zero', value => value >= 0 && value <= Number.MAX_SAFE_INTEGER);

/** Codec of a text that is not empty. */
export const nameCodec = Codec.custom<string>({
	decode: value => string.decode(value).chain(text => text === '' ? Left('Expected a string that is not empty') : Right(text)),
	encode: text => text,
});

/** Codec of a name that is sent as one word of a line: not empty, without spaces and control characters. */
export const wordCodec = Codec.custom<string>({
	decode: value => string.decode(value).chain(text => /^[^\s\p{Cc}]+$/v.test(text) ? Right(text) : Left(`Expected one word, but received ${JSON.stringify(text.slice(0, 100))}`)),
	encode: text => text,
});

/** Maximum number of elements of a list from outside; a function call takes as many arguments. */
const maxListLength = 65_536;

/** Creates the codec of a list that is not too long to be handled. */
export function createListCodec<T>(elementCodec: Codec<T>): Codec<T[]> {
	const listCodec = array(elementCodec);
	return Codec.custom<T[]>({
		decode: value => Array.isArray(value) && value.length > maxListLength ? Left(`Expected at most ${maxListLength} elements, but received ${value.length}`) : listCodec.decode(value),
		encode: listCodec.encode,
	});
}

/** Creates the codec of an object that serves as a map of names from outside: any name is kept as a property of its own, also `__proto__`. */
export function createMapCodec<T>(valueCodec: Codec<T>): Codec<Record<string, T>> {
	return Codec.custom<Record<string, T>>({
		decode(input): Either<string, Record<string, T>> {
			if (typeof input !== 'object' || input === null || Array.isArray(input)) {
				return Left(`Expected an object, but received ${Array.isArray(input) ? 'an array' : `a ${input === null ? 'null' : typeof input}`}`);
			}

			const map: Record<string, T> = {};
			for (const [name, value] of Object.entries(input)) {
				const decoded = valueCodec.decode(value);
				if (decoded.isLeft()) {
					return Left(`Problem with the value of property "${name}": ${decoded.extract()}`);
				}

				const element = decoded.unsafeCoerce();
				if (name === '__proto__') {
					Object.defineProperty(map, name, {
						value: element, enumerable: true, configurable: true, writable: true,
					});
				} else {
					map[name] = element;
				}
			}

			return Right(map);
		},
		encode: map => map,
	});
}
