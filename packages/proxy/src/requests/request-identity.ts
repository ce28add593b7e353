import {createHash} from 'node:crypto';

/** Longest Idempotency-Key, in characters. */
export const maxIdempotencyKeyLength = 200;

/** Returns the identity under which a group records a request; keys of different accounts never meet. */
export function getRecordId(account: string, idempotencyKey: string): string {
	return createHash('sha256').update(`${account}\n${idempotencyKey}`).digest('base64url');
}

/** Returns a hash of what a request asks for. */
export function hashBody(route: string, parameters: Readonly<Record<string, string>>): string {
	const sorted = Object.entries(parameters).toSorted(([a], [b]) => (a < b ? -1 : 1));
	return createHash('sha256').update(JSON.stringify([route, sorted])).digest('base64url');
}
