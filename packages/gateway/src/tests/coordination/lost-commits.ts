import {comparePositions} from '@chicorysaddle/model';
import {type FakeDatabase} from '../fakes/fake-database.js';

/**
 * Returns one line for each acknowledged commit that an instance lacked when it was promoted.
 * @param excluded - Ids of instances whose promotions do not count.
 */
export function findLostCommits({events, promotions}: FakeDatabase, acknowledged: ReadonlySet<string>, excluded: ReadonlySet<string> = new Set()): string[] {
	return events.flatMap(({kind, requestId, position, at}) => {
		const isAcknowledged = kind === 'commit' && acknowledged.has(requestId);
		const promotion = isAcknowledged ? promotions.find(({term, position: promoted, instanceId}) => !excluded.has(instanceId) && term > position.term && comparePositions(position, promoted) > 0) : undefined;
		return promotion === undefined ? [] : [`${requestId} of ${at} ms is not in the log that leads term ${promotion.term} from ${promotion.at} ms on`];
	});
}
