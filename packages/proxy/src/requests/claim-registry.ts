import {type Either, Left, Right} from 'purify-ts';
import {z} from 'zod';
import {type Refusal, refusals} from '@chicorysaddle/model';
import {type Table} from '@chicorysaddle/store';

const claimSchema = z.object({bodyHash: z.string(), claimId: z.string()});

/** Number of table rows that claims are hashed into. */
const bucketCount = 4096;

/** Maximum number of claims per row; the oldest are dropped first. */
const maxClaimsPerBucket = 64;

const bucketSchema = z.array(z.tuple([z.string(), claimSchema]));

/**
 * Claims request ids in the platform's table, for groups that do not record request ids themselves.
 * The number of rows is fixed; a full row drops its oldest claim.
 */
export class ClaimRegistry {
	constructor(private readonly table: Table) {}

	/**
	 * Claims a request id; only the first claim may send the request, and only once.
	 * @param recordId - Id of the request, from `getRecordId`.
	 * @param bodyHash - Hash of the request body.
	 * @param claimId - Unique id of this claim, by which a retry recognizes its own claim after the response of the table was lost.
	 * @param idempotencyKey - Idempotency-Key of the caller, for error messages.
	 */
	async claimRequest(recordId: string, bodyHash: string, claimId: string, idempotencyKey: string): Promise<Either<Refusal, void>> {
		const maxAttempts = 4;
		for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
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
		const existing = claims.find(([id]) => id === recordId)?.[1];
		if (existing !== undefined) {
			return checkClaim(existing, bodyHash, claimId, idempotencyKey);
		}

		const value = JSON.stringify([...claims, [recordId, {bodyHash, claimId}]].slice(-maxClaimsPerBucket));
		const written = await this.table.compareAndSet([{key, expectedVersion: row?.version ?? 0, value}]);
		return written.caseOf<Either<Refusal, void> | 'again'>({
			Left: () => 'again',
			Right: result => (result.applied ? Right(undefined) : 'again'),
		});
	}
}

function checkClaim(existing: z.infer<typeof claimSchema>, bodyHash: string, claimId: string, idempotencyKey: string): Either<Refusal, void> {
	if (existing.bodyHash !== bodyHash) {
		return Left(refusals.requestMismatch(idempotencyKey));
	}

	return existing.claimId === claimId ? Right(undefined) : Left(refusals.outcomeUnknown('the request was sent before'));
}

function getBucketKey(recordId: string): string {
	let hash = 0;
	for (const character of recordId) {
		hash = ((hash * 31) + character.codePointAt(0)!) % bucketCount;
	}

	return `claims/${hash}`;
}
