/** Who orders a promotion. */
export type PromotionRequest = {
	readonly group: string;
	readonly instanceId: string;
	readonly holder: string;
	/** Rises with each change of holder. */
	readonly fencingToken: number;
};

/** What became of an order; `unknown` when no answer came. */
export type PromotionResult = 'accepted' | 'rejected' | 'busy' | 'unknown';

/** The platform's call that names a group's next primary. */
export type PromotionService = {
	promote(order: PromotionRequest, timeoutMs: number): Promise<PromotionResult>;
};
