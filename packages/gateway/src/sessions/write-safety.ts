import {type SessionDependencies} from './session-dependencies.js';

/**
 * Waits until a write that a primary has acknowledged cannot be missing from a successor.
 * @returns Whether that is certain; otherwise its outcome is unknown.
 */
export async function isWriteSafe(group: string, instanceId: string, {promotionWatch, terms}: Pick<SessionDependencies, 'promotionWatch' | 'terms'>): Promise<boolean> {
	// The term is checked last, since it may close during the other check.
	return await promotionWatch.waitUntilWriteIsConfirmed(group) && terms.waitUntilWriteIsSafe(group, instanceId);
}
