import {type FakeDatabase} from '../fakes/fake-database.js';

/** Returns one line for each acknowledged write of a primary whose successor had taken effect before. */
export function findFormerWrites({events, promotions}: FakeDatabase, acknowledged: ReadonlySet<string>): string[] {
	return events.flatMap(({kind, requestId, instanceId, position, at}) => {
		const promotion = kind === 'commit' && acknowledged.has(requestId) ? promotions.find(({term, at: promotedAt}) => term > position.term && promotedAt < at) : undefined;
		return promotion === undefined ? [] : [`${requestId} was committed at ${instanceId} in term ${position.term} ${Math.round(at - promotion.at)} ms after term ${promotion.term} had begun`];
	});
}
