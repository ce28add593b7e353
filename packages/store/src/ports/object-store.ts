import {type Either, type Maybe} from 'purify-ts';
import {type Refusal} from '@chicorysaddle/model';

/** The platform's object store. */
export type ObjectStore = {
	/** Creates or replaces an object. */
	writeObject(key: string, body: Uint8Array): Promise<Either<Refusal, void>>;
	/** Reads an object, `Nothing` if there is none under the key. */
	readObject(key: string): Promise<Either<Refusal, Maybe<Uint8Array>>>;
};
