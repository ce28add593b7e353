import {type Instance} from '../instances/index.js';
import {type ForwardRequest, type ForwardResult} from '../statements/index.js';
import {type InstanceTracker} from './instance-tracker.js';

/** Part of an instance's connections that this VM may use. */
export type ConnectionShare =
	/** The VM is a gateway: it holds up to this many connections, also while they are idle. */
	| {readonly kind: 'gateway'; readonly connections: number}
	/** The VM shares the rest of the connections with others that are not gateways. */
	| {readonly kind: 'rest'; readonly capacity: number; readonly vms: number};

/** Placement of an operation at the gateway of its instance and account. */
export type RemotePlacement = {
	readonly instance: Instance;
	/** Whether the instance is used as the group's primary. */
	readonly isPrimary: boolean;
	/** Whether the link to the gateway is open. */
	readonly isOpen: boolean;
	/** Whether the gateway has sent nothing for too long. */
	isSilent(): boolean;
	/** Sends a statement to the gateway and waits for its outcome. */
	run(request: ForwardRequest): Promise<ForwardResult>;
	/** Ends the placement; a transaction that is still open is rolled back by the gateway. */
	release(): void;
};

/** What can be done with an operation for whose account this VM has no idle connection. */
export type PlacementRoute =
	| {readonly kind: 'open'}
	| {readonly kind: 'wait'}
	/** Forwarding adds about `costMs` milliseconds. */
	| {readonly kind: 'forward'; readonly costMs: number; readonly createPlacement: (isPrimary: boolean, tracker: InstanceTracker) => RemotePlacement};

/** Decides between a connection of this VM and the gateway of an instance. */
export type PlacementRouter = {
	chooseRoute(instance: Instance, account: string): PlacementRoute;
	/** Returns the part of an instance's connections that this VM may use; undefined for the even share. */
	getShare(instance: Instance): ConnectionShare | undefined;
	/** Sets the number of VMs that share the connections of an instance. */
	setMemberCount(memberCount: number): void;
	/** Records the time that it took to open a connection for an account, in milliseconds. */
	recordOpening(instance: Instance, account: string, ms: number): void;
	/** Adds a listener that is called when operations that wait for a gateway may be forwarded. */
	onCapacityFreed(listener: () => void): void;
};
