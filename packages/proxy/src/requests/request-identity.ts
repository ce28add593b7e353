import {createHash} from 'node:crypto';

/** Maximum length of an Idempotency-Key, in characters. */
export const maxIdempotencyKeyLength = 200;

/** Returns the id under which a group records a request; it includes the account, so that keys of different accounts do not collide. */
export function getRecordId(account: string, idempotencyKey: string): string {
	return createHash('sha256').update(`${account}\n${idempotencyKey}`).digest('base64url');
}

/** Returns a hash of the route and the parameters of a request. */
export function hashBody(route: string, parameters: Readonly<Record<string, string>>): string {
	const sorted = Object.entries(parameters).toSorted(([a], [b]) => (a < b ? -1 : 1));
	return createHash('sha256').update(JSON.stringify([route, sorted])).digest('base64url');
}
