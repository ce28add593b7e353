import {type MessageInitShape} from '@bufbuild/protobuf';
import {type AllocatorState} from '@chicorysaddle/decisions';
import {type HandOverRequest, type HandOverRequestSchema} from '@chicorysaddle/protocol';

/** Reads the books of an allocator off the wire. */
export function parseAllocatorState(request: HandOverRequest): AllocatorState {
	return {
		sequence: Number(request.sequence),
		pools: request.pools.map(({account, level}) => ({account, level})),
		grants: request.grants.map(grant => ({
			holder: grant.holder,
			sequence: Number(grant.sequence),
			expiresInMs: grant.expiresInMs,
			accounts: grant.accounts.map(share => ({
				account: share.account, rateFraction: share.rateFraction, burstFraction: share.burstFraction, tokens: 0, nextTokenMs: 0,
			})),
		})),
	};
}

/** Writes the books of an allocator for the wire. */
export function formatAllocatorState(state: AllocatorState): MessageInitShape<typeof HandOverRequestSchema> {
	return {
		sequence: BigInt(state.sequence),
		pools: [...state.pools],
		grants: state.grants.map(grant => ({...grant, sequence: BigInt(grant.sequence), accounts: [...grant.accounts]})),
	};
}
