import {type LogPosition} from '@chicorysaddle/model';

/** Minimum number of instances that have to answer: a primary alone does not show that it was not replaced. */
export const minInstanceCount = 2;

/** What an instance answered about itself. */
export type SurveyedInstance = {
	readonly id: string;
	readonly role: 'primary' | 'replica';
	readonly term: number;
	readonly position: LogPosition;
};

/** The primary of a group as a VM knew it last. */
export type KnownPrimary = {
	readonly id: string;
	readonly term: number;
};

/**
 * Finds the log position of a group's primary from the answers of all its instances.
 * Every instance has to answer, because any one that does not may have been promoted. If none leads a later term, every commit
 * acknowledged before they were asked is at the known primary.
 * @param expectedCount - Number of instances that the group has.
 * @returns Undefined if another instance may have been promoted.
 */
export function findSurveyedPosition(primary: KnownPrimary, answers: readonly SurveyedInstance[], expectedCount: number): LogPosition | undefined {
	const answered = answers.find(({id}) => id === primary.id);
	const isComplete = new Set(answers.map(({id}) => id)).size >= Math.max(minInstanceCount, expectedCount);
	const isCurrent = answers.every(({id, role, term}) => id === primary.id ? role === 'primary' && term === primary.term : role === 'replica' && term <= primary.term);
	return answered !== undefined && isComplete && isCurrent ? answered.position : undefined;
}
