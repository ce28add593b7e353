import {type TransactionReservation} from '@chicorysaddle/decisions';
import {type ConfigurationView} from '../configuration/index.js';
import {type Dispatcher} from '../dispatch/index.js';
import {type Forwarding} from '../forwarding/index.js';
import {type AccountLimiter} from '../limits/index.js';
import {type MemoryBudget} from '../memory/index.js';
import {type EventLog, type GatewayMetrics} from '../observability/index.js';
import {type Clock} from '../ports/index.js';
import {type PositionSurveyor, type PromotionWatch} from '../positions/index.js';
import {type BackgroundTasks} from '../tasks/index.js';
import {type TermRegistry} from '../terms/index.js';

/** Dependencies of sessions. */
export type SessionDependencies = {
	readonly configuration: ConfigurationView;
	readonly dispatcher: Dispatcher;
	readonly limiter: AccountLimiter;
	readonly transactionReservation: TransactionReservation;
	readonly terms: TermRegistry;
	/** Memory that the definitions of all sessions share. */
	readonly definitionBudget: MemoryBudget;
	readonly surveyor: PositionSurveyor;
	readonly promotionWatch: PromotionWatch;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: GatewayMetrics;
	readonly tasks: BackgroundTasks;
	/** Absent where no operation is forwarded. */
	readonly forwarding?: Forwarding | undefined;
};

/** Identity that a caller presented when it opened its session. */
export type SessionIdentity = {
	/** Id of the connection in the log. */
	readonly connectionId: string;
	readonly database: string;
	/** Digest of the caller's API key. */
	readonly keyDigest: string;
};
