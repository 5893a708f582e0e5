import {writeFileSync} from 'node:fs';
import {resultTable} from '../src/admin/result-table.js';
import {renderResultCodes} from './result-codes-page.js';
import {renderSettings} from './settings-page.js';

/** `npm run docs`: writes the pages that are generated from the code. */
writeFileSync('docs/RESULT_CODES.md', renderResultCodes(resultTable));
writeFileSync('docs/SETTINGS.md', renderSettings());
