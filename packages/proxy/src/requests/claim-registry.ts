import {type Either, Left, Right} from 'purify-ts';
import {z} from 'zod';
import {type Refusal, refusals} from '@chicorysaddle/model';
import {type Table} from '@chicorysaddle/store';

const claimSchema = z.object({bodyHash: z.string(), claimId: z.string()});
/** Rows that claims are spread over; each row keeps the newest claims only. */
const bucketCount = 4096;
const maxClaimsPerBucket = 64;

const bucketSchema = z.array(z.tuple([z.string(), claimSchema]));

/**
 * Claims request ids in the platform's table, for groups that do not record them.
 * The rows are fixed in number and each keeps a fixed number of claims, the oldest going first.
 */
export class ClaimRegistry {
	constructor(private readonly table: Table) {}

	/**
	 * Claims an id; whoever claims it first may send the request, once.
	 * @param recordId - Identity of the request.
	 * @param bodyHash - Hash of what it asks for.
	 * @param claimId - Identity of this claim, by which a lost answer is settled.
	 * @param idempotencyKey - The caller's id, for messages.
	 */
	async claimRequest(recordId: string, bodyHash: string, claimId: string, idempotencyKey: string): Promise<Either<Refusal, void>> {
		const attempts = 4;
		for (let attempt = 0; attempt < attempts; attempt += 1) {
			const outcome = await this.#tryClaim(recordId, bodyHash, claimId, idempotencyKey);
			if (outcome !== 'again') {
				return outcome;
			}
		}

		return Left(refusals.overloaded('claims', 100));
	}

	async #tryClaim(recordId: string, bodyHash: string, claimId: string, idempotencyKey: string): Promise<Either<Refusal, void> | 'again'> {
		const key = getBucketKey(recordId);
		const rows = await this.table.readRows([key]);
		if (rows.isLeft()) {
			return Left(refusals.overloaded('claims', 1000));
		}

		const [row] = rows.unsafeCoerce();
		const claims = row === undefined || row.version === 0 ? [] : bucketSchema.parse(JSON.parse(row.value));
		const known = claims.find(([id]) => id === recordId)?.[1];
		if (known !== undefined) {
			return checkClaim(known, bodyHash, claimId, idempotencyKey);
		}

		const value = JSON.stringify([...claims, [recordId, {bodyHash, claimId}]].slice(-maxClaimsPerBucket));
		const written = await this.table.compareAndSet([{key, expectedVersion: row?.version ?? 0, value}]);
		return written.caseOf<Either<Refusal, void> | 'again'>({
			Left: () => 'again',
			Right: result => (result.applied ? Right(undefined) : 'again'),
		});
	}
}

function checkClaim(known: z.infer<typeof claimSchema>, bodyHash: string, claimId: string, idempotencyKey: string): Either<Refusal, void> {
	if (known.bodyHash !== bodyHash) {
		return Left(refusals.requestMismatch(idempotencyKey));
	}

	return known.claimId === claimId ? Right(undefined) : Left(refusals.outcomeUnknown('the request was sent before'));
}

function getBucketKey(recordId: string): string {
	let hash = 0;
	for (const character of recordId) {
		hash = ((hash * 31) + character.codePointAt(0)!) % bucketCount;
	}

	return `claims/${hash}`;
}
