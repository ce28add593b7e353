import {type Either} from 'purify-ts';
import {type Refusal} from '@chicorysaddle/model';

/** A VM as the platform lists it; the list can be out of date. */
export type ListedVm = {
	readonly name: string;
	/** Address of its port for other VMs. */
	readonly address: string;
	readonly zone: string;
	readonly state: 'live' | 'leaving';
};

/** The platform's list of VMs. */
export type VmList = {
	listVms(): Promise<Either<Refusal, ListedVm[]>>;
};
