import test from 'ava';
import {parseSheet, planSheet, type SheetProblem} from '../../index.js';

const header = 'kind,name,state,account,key,rate,burst,weight,group,address,zone,slots,connections';

function parseText(text: string) {
	return parseSheet(new TextEncoder().encode(text));
}

function formatProblems(text: string): string[] {
	const problems = parseText(text).swap().orDefault([]);
	return problems.map(({line, column, message}: SheetProblem) => `${line}:${column} ${message}`);
}

test('every invalid row is reported, with line and column', t => {
	const problems = formatProblems([
		header,
		'planet,x',
		'account,a,,,,-1,10',
		'account,b,,,,,10',
		'account,c,,,,5,0.5',
		'account,d,,,,5,5',
		'account,d,,,,6,6',
		'key,,,d,secret-1',
		'key,,,c,secret-1',
		'key,,,d,secret-1',
		'endpoint,e,flying,,,,,,g,10.0.0.1:1,z,5,30',
	].join('\n'));
	t.deepEqual(problems, [
		'2:1 unknown kind "planet"; known: account, key, endpoint',
		'3:6 "-1" is not a number above zero',
		'4:6 a row of kind "account" needs "rate"',
		'5:7 "0.5" is not a number of at least one',
		'7:2 account "d" is already listed on line 6',
		'9:5 this key is listed for another client account, "d", on line 8',
		'10:5 this key is already listed on line 8',
		'11:3 unknown state "flying"; known: active, joining, leaving, gone',
	]);
});

test('broken quoting, an unknown column, an empty file and invalid UTF-8 are reported', t => {
	t.regex(formatProblems(`${header}\naccount,"a,,,,5,5\n`)[0]!, /^[12]:\d+ broken quoting/v);
	t.deepEqual(formatProblems('kind,colour\n'), ['1:2 unknown column "colour"; known: kind, name, state, account, key, rate, burst, weight, group, address, zone, slots, connections']);
	t.deepEqual(formatProblems(''), ['1:0 the sheet is empty']);
	t.deepEqual(parseSheet(new Uint8Array([0xFF, 0xFE, 0x41])).swap().orDefault([]).map(({message}) => message), ['the sheet is not valid UTF-8']);
});

test('a byte-order mark, CRLF, quoted line breaks and non-ASCII names are parsed', t => {
	const rows = parseText('\uFEFFkind,name,rate,burst\r\naccount,Bâtiments Ñandú,5,5\r\naccount,"two\nlines",5,5\r\naccount,last,5,5\r\n').unsafeCoerce();
	t.deepEqual(rows.map(row => [row.line, row.cells.name]), [[2, 'Bâtiments Ñandú'], [3, 'two\nlines'], [5, 'last']]);
});

test('a plan holds only the differences, and every conflict with the configuration is reported', t => {
	const current = [
		{key: 'account/a', value: '{"rate":5,"burst":5,"weight":1}'},
		{key: 'group/g', value: '{"recordsRequestIds":true}'},
		{key: 'key/2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b', value: '{"account":"a","label":""}'},
	];
	const rows = parseText('kind,name,rate,burst\naccount,a,5,5\naccount,b,7,7').unsafeCoerce();
	t.deepEqual(planSheet(rows, current).unsafeCoerce().map(({row, action}) => `${action} ${row.key}`), ['add account/b']);
	const invalidRows = parseText('kind,name,account,key,rate,burst,group,address,zone,slots,connections\naccount,b,,,1,1\nkey,,b,secret\nkey,,nobody,other\nendpoint,e,,,,,nowhere,h:1,z,1,1').unsafeCoerce();
	t.deepEqual(planSheet(invalidRows, current).swap().orDefault([]).map(({line, message}) => `${line} ${message}`), [
		'3 this key belongs to client account "a"',
		'4 no client account "nobody"',
		'5 no database group "nowhere"',
	]);
});

test('a sheet of 100,000 rows is planned completely, and every problem in one is reported', t => {
	const validLines = Array.from({length: 100_000}, (_, index) => `account,account-${index},1,1`);
	const rows = parseText(['kind,name,rate,burst', ...validLines].join('\n')).unsafeCoerce();
	t.is(planSheet(rows, []).unsafeCoerce().length, 100_000);
	const linesWithErrors = validLines.map((line, index) => (index % 1000 === 0 ? line.replace(',1,1', ',0,1') : line));
	t.is(formatProblems(['kind,name,rate,burst', ...linesWithErrors].join('\n')).length, 100);
});
