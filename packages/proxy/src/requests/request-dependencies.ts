import {type RetryBudget, type ReadRouter} from '@chicorysaddle/decisions';
import {type CallerAuthenticator} from '../access/index.js';
import {type ConfigurationReplica} from '../configuration/index.js';
import {type GroupRegistry} from '../groups/index.js';
import {type AccountLimiter} from '../limits/index.js';
import {type Clock, type Metrics, type Tracing} from '../observability/index.js';
import {type SessionTokenCodec} from '../sessions/index.js';
import {type ClaimRegistry} from './claim-registry.js';

/** Names of the moments at which a write is acknowledged. */
export type AcknowledgePolicy = 'replica' | 'at-once';

/** Parts that serve requests. */
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
	/** Returns a random number from zero up to one. */
	getRandom(): number;
	/** Returns an identity that no other request has. */
	createId(): string;
};
