/** Who this VM is among the others. */
export type GatewayIdentity = {
	readonly vm: string;
	readonly zone: string;
	/** Differs between two processes of one VM. */
	readonly incarnation: string;
	/** Host and port on which other VMs reach it. */
	readonly peerAddress: string;
};
