import test from 'ava';
import {findSettingLine} from '../../settings/index.js';

test('a key is found on the line that sets it, not where it is only mentioned', t => {
	const text = '# zone of the VM\n[vm]\n  zone = "a"\nname = "zone"\n';
	t.is(findSettingLine(text, 'zone'), 3);
	t.is(findSettingLine(text, 'port'), undefined);
	t.is(findSettingLine(text, ''), undefined);
});
