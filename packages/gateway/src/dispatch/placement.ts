import {type LogPosition, type Refusal} from '@chicorysaddle/model';
import {type PooledConnection} from './pooled-connection.js';
import {type InstancePool} from './instance-pool.js';

/** What a statement or a transaction needs an instance for. */
export type PlacementRequest = {
	readonly group: string;
	readonly account: string;
	readonly target: 'primary' | 'any';
	/** Position that a replica has to hold. */
	readonly requiredPosition: LogPosition | undefined;
	/** Zero is the highest. */
	readonly priority: number;
	/** Steady time until which a place is of use, milliseconds. */
	readonly deadline: number;
	/** Instances that are not to be tried, by id. */
	readonly excluded: ReadonlySet<string>;
};

/** A connection that is held for one statement or transaction. */
export type Placement = {
	readonly pool: InstancePool;
	readonly connection: PooledConnection;
	/** Whether the instance is used as the group's primary. */
	readonly isPrimary: boolean;
};

/** A place, or why there is none. */
export type PlacementResult = {readonly kind: 'placed'; readonly placement: Placement} | {readonly kind: 'refused'; readonly refusal: Refusal};
