import {type Priority} from '@chicorysaddle/decisions';

const priorityClasses: readonly Priority[] = ['high', 'high', 'normal'];

/**
 * Returns the class in which requests of a route are ordered.
 * @param priority - Priority of the route; 0 is the highest.
 */
export function getPriorityClass(priority: number): Priority {
	return priorityClasses[priority] ?? 'low';
}
