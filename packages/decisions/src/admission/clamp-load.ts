import {type ClassNumbers, type QueueLoad} from './queue-load.js';

/** Maximum number of waiting requests of one class, of accounts and of an account's requests that one VM is believed to have. */
const maxWaiting = 2000;

/** Maximum number of placements per second that one VM is believed to make. */
const maxPlacedPerS = 20_000;

/** Maximum number of accounts of a load that are named. */
export const maxNamedAccounts = 4;

function clampNumber(value: number, max: number): number {
	return Number.isNaN(value) ? 0 : Math.min(max, Math.max(0, value));
}

function clampNumbers({high, normal, low}: ClassNumbers, max: number): ClassNumbers {
	return {high: clampNumber(high, max), normal: clampNumber(normal, max), low: clampNumber(low, max)};
}

/** Limits the load that one VM states to plausible numbers, so that a faulty VM neither fills the memory of others nor yields values that are not finite. */
export function clampLoad({group, target, waiting, placedPerS, accounts, largest}: QueueLoad): QueueLoad {
	return {
		group,
		target,
		waiting: clampNumbers(waiting, maxWaiting),
		placedPerS: clampNumbers(placedPerS, maxPlacedPerS),
		accounts: clampNumber(accounts, maxWaiting),
		largest: new Map([...largest].slice(0, maxNamedAccounts).map(([account, count]) => [account, clampNumber(count, maxWaiting)])),
	};
}
