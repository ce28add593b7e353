/** Request to promote an instance to primary. */
export type PromotionRequest = {
	readonly group: string;
	readonly instanceId: string;
	/** VM that requests the promotion. */
	readonly holder: string;
	/** Increases with each change of holder. */
	readonly fencingToken: number;
};

/** Result of a promotion request; `unknown` if no response arrived. */
export type PromotionResult = 'accepted' | 'rejected' | 'busy' | 'unknown';

/** Platform API that promotes an instance to primary of its group. */
export type PromotionService = {
	/**
	 * Requests a promotion; `accepted` means that it was started, not that it has ended.
	 * A request that is given up, because the time is up or the signal is aborted, is taken back as far as the network has not delivered it.
	 */
	promote(request: PromotionRequest, timeoutMs: number, signal?: AbortSignal): Promise<PromotionResult>;
};
