import {defineCode} from '../result/code.js';

/** Results of endpoints and membership: 7000 to 7999. */
export const endpointCodes = {
  announcementInvalid: defineCode(
    7000,
    'announcement-invalid',
    'not-run',
    400,
    'The announcement is not usable. Mend the named field and send it again.',
  ),
  announcementForeign: defineCode(
    7001,
    'announcement-foreign',
    'not-run',
    409,
    'This node announces another instance. Take that one back first, or use the node beside this upstream.',
  ),
  nothingAnnounced: defineCode(
    7002,
    'nothing-announced',
    'not-run',
    404,
    'No upstream is announced here. Announce one with POST /upstream.',
  ),
  instanceDuplicate: defineCode(
    7003,
    'instance-duplicate',
    'not-run',
    409,
    'Another live process announces this instance id at another address. Give one of them another id.',
  ),
  registryFull: defineCode(
    7004,
    'registry-full',
    'not-run',
    503,
    'The home keeps as many instances as it may. Find what announces so many.',
  ),
  announcementTooLarge: defineCode(
    7005,
    'announcement-too-large',
    'not-run',
    413,
    'The announcement has too many bytes. Send only the documented fields.',
  ),
} as const;
