import {type PromotionService} from '../ports/index.js';
import {type BackgroundTasks} from './background-tasks.js';

/** Wraps a promotion service so that the result of a request that causes an error is unknown. */
export function createContainedPromotionService(service: PromotionService, tasks: BackgroundTasks): PromotionService {
	return {
		async promote(request, timeoutMs, signal) {
			try {
				return await service.promote(request, timeoutMs, signal);
			} catch (error) {
				tasks.recordFailure('promotion request', error);
				return 'unknown';
			}
		},
	};
}
