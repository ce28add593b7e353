import {execFile} from 'node:child_process';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import test from 'ava';

test('the example that embeds the rate limits admits at least 90 calls and no more than the rate allows', async t => {
	const example = fileURLToPath(new URL('../../../../../examples/embed/limits.js', import.meta.url));
	const {stdout} = await promisify(execFile)(process.execPath, [example]);
	const [admitted, maxAdmitted] = stdout.match(/\d+/gv)!.map(Number);
	t.true(admitted! <= maxAdmitted! && admitted! >= 90, stdout);
});
