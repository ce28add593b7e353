/** Identity of this VM in the cluster. */
export type GatewayIdentity = {
	readonly vm: string;
	readonly zone: string;
	/** Differs between successive processes of one VM. */
	readonly incarnation: string;
	/** Host and port on which other VMs reach this one. */
	readonly peerAddress: string;
};
