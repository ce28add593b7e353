import {type MessageInitShape} from '@bufbuild/protobuf';
import {type AllocatorState} from '@chicorysaddle/decisions';
import {type HandOverRequest, type HandOverRequestSchema} from '@chicorysaddle/protocol';

/** Parses the state of an allocator from a hand-over request. */
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

/** Formats the state of an allocator for a hand-over request. */
export function formatAllocatorState(state: AllocatorState): MessageInitShape<typeof HandOverRequestSchema> {
	return {
		sequence: BigInt(state.sequence),
		pools: [...state.pools],
		grants: state.grants.map(grant => ({...grant, sequence: BigInt(grant.sequence), accounts: [...grant.accounts]})),
	};
}
