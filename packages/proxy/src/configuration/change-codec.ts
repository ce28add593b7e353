import {create} from '@bufbuild/protobuf';
import {type ConfigurationChange} from '@chicorysaddle/model';
import {type ConfigurationChange as WireChange, ConfigurationChangeSchema} from '@chicorysaddle/protocol';

/** Parses a configuration change from its message. */
export function parseChange(change: WireChange): ConfigurationChange {
	return {
		version: Number(change.version), writeId: change.writeId, author: change.author, summary: change.summary,
		rows: change.rows.map(row => ({key: row.key, value: row.value})),
	};
}

/** Formats a configuration change as its message. */
export function formatChange(change: ConfigurationChange): WireChange {
	return create(ConfigurationChangeSchema, {
		...change,
		version: BigInt(change.version),
		rows: change.rows.map(row => (row.value === undefined ? {key: row.key} : {key: row.key, value: row.value})),
	});
}
