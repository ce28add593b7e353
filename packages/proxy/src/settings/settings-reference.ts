import {z} from 'zod';
import {settingsSchema} from './settings.js';

type PropertySchema = {
	readonly description?: string; readonly type?: string; readonly default?: unknown; readonly enum?: readonly unknown[]; readonly items?: {readonly type?: string};
};

type TableSchema = {readonly properties?: Readonly<Record<string, PropertySchema>>; readonly required?: readonly string[]};

function formatType({type, enum: values, items}: PropertySchema): string {
	if (values !== undefined) {
		return values.map(value => `"${String(value)}"`).join(', ');
	}

	return type === 'array' ? `list of ${items?.type ?? 'values'}` : type ?? 'value';
}

function formatProperty(name: string, property: PropertySchema): string {
	const defaultValue = property.default === undefined ? '' : `\`${JSON.stringify(property.default)}\``;
	return `| \`${name}\` | ${formatType(property)} | ${defaultValue} | ${property.description ?? ''} |`;
}

/** Formats the reference page of all settings, in Markdown, from the validation schema. */
export function formatSettingsReference(): string {
	const {properties = {}} = z.toJSONSchema(settingsSchema, {io: 'input'}) as {properties?: Readonly<Record<string, TableSchema>>};
	const tables = Object.entries(properties).map(([table, schema]) => [
		`## [${table}]`,
		'',
		'| setting | value | standard | meaning |',
		'|---|---|---|---|',
		...Object.entries(schema.properties ?? {}).map(([name, property]) => formatProperty(name, property)),
	].join('\n'));
	return `# Settings\n\nWritten by \`chicorysaddled --reference\`. Settings without a standard value, but for optional ones, have to be given.\nTimes end in \`_ms\` and are milliseconds.\n\n${tables.join('\n\n')}\n`;
}
