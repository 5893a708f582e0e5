import {claimCodes} from '../claims/codes.js';
import {endpointCodes} from '../endpoints/codes.js';
import {adminCodes} from './codes.js';
import {consensusCodes} from '../consensus/codes.js';
import {configurationCodes} from '../configuration/codes.js';
import {commonCodes} from '../result/codes.js';
import {distributionCodes} from '../distribution/codes.js';
import {requestCodes} from '../request/messages/codes.js';
import type {Code} from '../result/code.js';

/**
 * All result codes of the program, in ascending order. Ranges: 1000 common,
 * 2000 configuration and operators, 3000 consensus and storage, 4000
 * distribution, 5000 requests, 6000 claims, 7000 endpoints and membership, 8000
 * administration and reports.
 */
export const resultTable: readonly Code[] = [
  ...Object.values(commonCodes),
  ...Object.values(claimCodes),
  ...Object.values(endpointCodes),
  ...Object.values(adminCodes),
  ...Object.values(distributionCodes),
  ...Object.values(consensusCodes),
  ...Object.values(configurationCodes),
  ...Object.values(requestCodes),
].sort((left, right) => left.number - right.number);
