import {type RetryBudget, type ReadRouter} from '@chicorysaddle/decisions';
import {type CallerAuthenticator} from '../access/index.js';
import {type ConfigurationReplica} from '../configuration/index.js';
import {type GroupRegistry} from '../groups/index.js';
import {type AccountLimiter} from '../limits/index.js';
import {type Clock, type Metrics, type Tracing} from '../observability/index.js';
import {type SessionTokenCodec} from '../sessions/index.js';
import {type ClaimRegistry} from './claim-registry.js';

/** When a write is acknowledged: `replica` once a replica holds it, `at-once` as soon as the primary has responded. */
export type AcknowledgePolicy = 'replica' | 'at-once';

/** Dependencies of the request and transaction runners. */
export type RequestDependencies = {
	readonly authenticator: CallerAuthenticator;
	readonly configuration: ConfigurationReplica;
	readonly groups: GroupRegistry;
	readonly limiter: AccountLimiter;
	readonly sessions: SessionTokenCodec;
	readonly claims: ClaimRegistry;
	readonly router: ReadRouter;
	readonly retryBudget: RetryBudget;
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly tracing: Tracing;
	readonly acknowledge: AcknowledgePolicy;
	/** Returns a random number from zero (inclusive) to one (exclusive). */
	getRandom(): number;
	/** Returns a unique id. */
	createId(): string;
};
