/** Identity of this VM in the cluster. */
export type GatewayIdentity = {
	/** Name of this VM. */
	readonly vm: string;
	/** Availability zone of this VM. */
	readonly zone: string;
	/** Region of each availability zone; empty where all zones are in one region. */
	readonly regions: ReadonlyMap<string, string>;
	/** Identifies this process among the successive processes of the VM. */
	readonly incarnation: string;
	/** Host and port at which other VMs reach this one. */
	readonly peerAddress: string;
};
