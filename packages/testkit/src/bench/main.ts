import {Buffer} from 'node:buffer';
import {type ChildProcess, fork} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, writeFile} from 'node:fs/promises';
import {connect, type Socket} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import autocannon from 'autocannon';
import {toBinary, create} from '@bufbuild/protobuf';
import {ExecuteRequestSchema} from '@chicorysaddle/protocol';
import {readCpuMs, VmProcess} from '../cluster/index.js';

const seconds = 6;
const idleConnections = 5000;
const runPath = '/chicorysaddle.caller.v1.DatabaseService/Run';
const runBody = JSON.stringify({route: 'bench.get', parameters: {key: 'k'}});
const runHeaders = {'content-type': 'application/json', authorization: 'Bearer csk_bench'};

type LoadFigures = {readonly perSecond: number; readonly perCoreSecond: number; readonly p50Ms: number; readonly p99Ms: number};

async function startChild(file: string): Promise<{child: ChildProcess; message: unknown}> {
	const child = fork(fileURLToPath(new URL(file, import.meta.url)));
	const [message] = await once(child, 'message') as [unknown];
	return {child, message};
}

async function measureLoad(pid: number, options: autocannon.Options): Promise<LoadFigures> {
	await autocannon({...options, duration: 3});
	const before = await readCpuMs(pid);
	const result = await autocannon({...options, duration: seconds});
	const cpuSeconds = (await readCpuMs(pid) - before) / 1000;
	if (result.non2xx > 0 || result.errors > 0) {
		throw new Error(`${result.non2xx} refused, ${result.errors} broken`);
	}

	return {
		perSecond: result.requests.average, perCoreSecond: result.requests.total / cpuSeconds, p50Ms: result.latency.p50, p99Ms: result.latency.p99,
	};
}

/** Memory that one idle caller connection takes, in kilobytes. */
async function measureIdleConnections(vm: VmProcess): Promise<number> {
	const before = await vm.readMemoryMb();
	const sockets: Socket[] = [];
	for (let opened = 0; opened < idleConnections; opened += 1) {
		const socket = connect(vm.ports.caller, vm.address);
		await once(socket, 'connect');
		sockets.push(socket);
	}

	const after = await vm.readMemoryMb();
	for (const socket of sockets) {
		socket.destroy();
	}

	return ((after - before) * 1024) / idleConnections;
}

const bare = await startChild('bare-server.js');
const standIns = await startChild('stand-in-server.js');
const {platform, endpoint} = standIns.message as {platform: number; endpoint: string};
const folder = await mkdtemp(path.join(tmpdir(), 'chicorysaddle-bench-'));
const settingsFile = path.join(folder, 'vm.toml');
await writeFile(settingsFile, `[vm]\nname = "vm-1"\nzone = "z"\n[ports]\ncaller = 0\npeer = 0\noperator = 0\n[platform]\naddress = "127.0.0.1:${platform}"\n[peers]\nsecret = "a-secret-of-the-bench"\n`);
const vm = new VmProcess('vm-1', 'z', '127.0.0.1');
await vm.start(settingsFile);
for (let isReady = false; !isReady;) {
	const response = await fetch(`http://127.0.0.1:${vm.ports.operator}/readyz`);
	isReady = response.ok;
}

const load = {
	method: 'POST' as const, body: runBody, headers: runHeaders, connections: 32,
};
const direct = {
	url: `http://${endpoint}/chicorysaddle.endpoint.v1.EndpointService/Execute`,
	method: 'POST' as const,
	headers: {'content-type': 'application/proto'},
	body: Buffer.from(toBinary(ExecuteRequestSchema, create(ExecuteRequestSchema, {requestId: 'r', statement: 'get', parameters: {key: 'k'}}))),
	connections: 1,
};
const idleConnectionKb = await measureIdleConnections(vm);
const figures = {
	bare: await measureLoad(bare.child.pid!, {...load, url: `http://127.0.0.1:${bare.message as number}${runPath}`}),
	proxy: await measureLoad(vm.pid, {...load, url: `http://127.0.0.1:${vm.ports.caller}${runPath}`}),
	proxyOneByOne: await measureLoad(vm.pid, {...load, connections: 1, url: `http://127.0.0.1:${vm.ports.caller}${runPath}`}),
	direct: await measureLoad(standIns.child.pid!, direct),
	idleConnectionKb,
};
process.stdout.write(`${JSON.stringify(figures, undefined, '\t')}\n`);
process.stdout.write(`throughput ${(figures.proxy.perSecond / figures.bare.perSecond).toFixed(2)} of a bare connect server; added p50 ${(figures.proxyOneByOne.p50Ms - figures.direct.p50Ms).toFixed(2)} ms, p99 ${(figures.proxyOneByOne.p99Ms - figures.direct.p99Ms).toFixed(2)} ms; ${figures.idleConnectionKb.toFixed(1)} KB an idle connection\n`);
vm.kill();
bare.child.kill();
standIns.child.kill();
process.exit(0);
