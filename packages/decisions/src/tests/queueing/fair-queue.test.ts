import test from 'ava';
import {FairQueue, type Priority, type QueuePolicy} from '../../index.js';

function createQueue(policy: QueuePolicy = 'fair') {
	const queue = new FairQueue<number>(policy);
	let number = 0;
	const add = (account: string, priority: Priority = 'normal', weight = 1, deadline = 1000) => {
		queue.addEntry({
			account, priority, weight, deadline, value: number,
		});
		number += 1;
	};

	const drain = () => {
		const accounts: string[] = [];
		for (let entry = queue.removeNext(() => true); entry !== undefined; entry = queue.removeNext(() => true)) {
			accounts.push(entry.account);
		}

		return accounts;
	};

	return {queue, add, drain};
}

test('an account that floods the queue delays only its own requests', t => {
	const {add, drain} = createQueue();
	for (let count = 0; count < 50; count += 1) {
		add('large');
	}

	add('small');
	t.true(drain().indexOf('small') <= 1);
	const firstCome = createQueue('first-come');
	for (let count = 0; count < 50; count += 1) {
		firstCome.add('large');
	}

	firstCome.add('small');
	t.is(firstCome.drain().indexOf('small'), 50);
});

test('accounts are served in proportion to their weights', t => {
	const {add, drain} = createQueue();
	for (let count = 0; count < 40; count += 1) {
		add('one');
		add('three', 'normal', 3);
	}

	const first = drain().slice(0, 40);
	t.true(Math.abs(first.filter(account => account === 'three').length - 30) <= 2);
});

test('higher priority classes are served first and no class starves', t => {
	const {add, drain} = createQueue();
	for (let count = 0; count < 100; count += 1) {
		add('payments', 'high');
		add('browsing', 'low');
	}

	const first = drain().slice(0, 85);
	const low = first.filter(account => account === 'browsing').length;
	t.true(low >= 3 && low <= 8, String(low));
});

test('requests past their deadline leave the queue, and those that cannot be placed are skipped', t => {
	const {queue, add} = createQueue();
	add('a', 'normal', 1, 10);
	add('b');
	t.deepEqual(queue.removeExpired(10).map(entry => entry.account), ['a']);
	add('c');
	t.is(queue.removeNext(entry => entry.account === 'c')?.account, 'c');
	t.is(queue.size, 1);
});
