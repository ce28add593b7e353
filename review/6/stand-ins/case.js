/* eslint-disable no-await-in-loop -- steps of a case follow one another */
/** What the cases have in common: exit codes, callers that keep writing. */
import path from 'node:path';
import process from 'node:process';
import {StandInClient} from './clients.js';
import {pause} from './platform.js';
import {World} from './world.js';

/** Whether the case plays its disruption. */
export const isTroubled = process.env.TROUBLE !== '0';

const verdicts = ['the rule held', 'the rule was broken', 'the case could not run'];

/**
 * Plays a case and ends the process: with 0 if the rule held, 1 if it was broken, 2 if the case could not run.
 * @param folder - Folder of the case, which gets `record.txt`.
 * @param play - Plays the case in the deployment; returns whether the rule held.
 */
export async function runCase(folder, options, play) {
	const world = new World(path.join(folder, 'record.txt'), options);
	let code = 2;
	try {
		code = await play(world) ? 0 : 1;
	} catch (error) {
		world.record('script.failed', {error: String(error?.stack ?? error)});
		console.error(error);
	}

	await world.stop();
	console.log(verdicts[code]);
	// Sockets of the stand-ins may still be open.
	// eslint-disable-next-line unicorn/no-process-exit
	process.exit(code);
}

/** Callers that write through all gateways, one statement after another, and begin a new session after a close. */
export class Writers {
	/** Ids of the writes that were answered with success. */
	acknowledged = [];
	#isStopped = false;
	#running;

	constructor(world, database, count = 4) {
		this.world = world;
		this.database = database;
		this.#running = Array.from({length: count}, async (_, index) => this.#write(index));
	}

	/** Waits until a number of writes are acknowledged. */
	async waitFor(count) {
		await this.world.waitUntil(() => this.acknowledged.length >= count, 30_000, `${count} writes are acknowledged`);
	}

	async stop() {
		this.#isStopped = true;
		await Promise.all(this.#running);
	}

	async #write(index) {
		const {gateways, record} = this.world;
		for (let number = 0; !this.#isStopped; number++) {
			const client = new StandInClient(`c${index}-${number}`, gateways[(index + number) % gateways.length].front, record);
			await client.start(this.database, 'key-a');
			for (let count = 0; count < 20 && !this.#isStopped && !client.isClosed; count++) {
				const answer = await client.query(`WRITE item-${index} v${number}-${count}`);
				if (answer.kind === 'complete') {
					this.acknowledged.push(answer.id);
				}

				await pause(20);
			}

			client.close();
			await pause(50);
		}
	}
}
