import {type Either, type Maybe} from 'purify-ts';
import {type Refusal} from '@chicorysaddle/model';

/** The platform's object store. */
export type ObjectStore = {
	putObject(key: string, body: Uint8Array): Promise<Either<Refusal, void>>;
	getObject(key: string): Promise<Either<Refusal, Maybe<Uint8Array>>>;
};
