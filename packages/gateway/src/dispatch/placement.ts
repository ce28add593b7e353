import {type LogPosition, type Refusal} from '@chicorysaddle/model';
import {type PooledConnection} from './pooled-connection.js';
import {type InstancePool} from './instance-pool.js';
import {type RemotePlacement} from './placement-router.js';

/** Request for a connection on which a statement or a transaction can run. */
export type PlacementRequest = {
	readonly group: string;
	readonly account: string;
	readonly target: 'primary' | 'any';
	/** Log position that a replica must have reached; undefined when only the primary may be used. */
	readonly requiredPosition: LogPosition | undefined;
	/** Monotonic time at which the session's own commit at the required position was acknowledged, in milliseconds; absent if the position is not that of an own commit. */
	readonly committedAt?: number | undefined;
	/** Priority; zero is the highest. */
	readonly priority: number;
	/** Monotonic time at which the request is refused if it still waits, in milliseconds. */
	readonly deadline: number;
	/** Ids of instances that must not be used. */
	readonly excluded: ReadonlySet<string>;
	/** Id of the only instance that may be used, for an operation that another VM forwarded to this one; absent if there is a choice. */
	readonly instanceId?: string;
};

/** A connection that is held for one statement or transaction. */
export type Placement = {
	readonly pool: InstancePool;
	readonly connection: PooledConnection;
	/** Whether the instance is used as the group's primary. */
	readonly isPrimary: boolean;
};

/** A placement, or the refusal of the request. */
export type PlacementResult = {readonly kind: 'placed'; readonly placement: Placement} | {readonly kind: 'refused'; readonly refusal: Refusal};

/** Result for a request that may be placed at a gateway. */
export type RoutedPlacementResult = PlacementResult | {readonly kind: 'forwarded'; readonly placement: RemotePlacement};
