/** One row of the catalogue. */
export interface EventDefinition {
  /** Stable number; never used again for another event. */
  readonly number: number;
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  /** What has happened, for a person. */
  readonly text: string;
}

/** Every event the product logs; docs/EVENTS.md lists the same rows. */
export const EVENTS = {
  'entry.starting': {number: 100, level: 'info', text: 'instance is starting'},
  'entry.ready': {number: 101, level: 'info', text: 'instance takes requests'},
  'entry.draining': {
    number: 102,
    level: 'info',
    text: 'planned stop begins; new requests go elsewhere',
  },
  'entry.stopped': {number: 103, level: 'info', text: 'instance has stopped'},
  'entry.drain-late': {
    number: 104,
    level: 'warn',
    text: 'planned stop ran out of its time with requests still in progress',
  },
  'entry.keys-unreadable': {
    number: 105,
    level: 'error',
    text: 'the settings file cannot be read again; the keys stay as they are',
  },
  'request.refused': {number: 201, level: 'info', text: 'request was refused'},
  'request.failed': {number: 202, level: 'warn', text: 'request failed'},
  'request.internal': {
    number: 203,
    level: 'error',
    text: 'a fault of hollowstack itself ended a request',
  },
  'config.in-force': {
    number: 300,
    level: 'info',
    text: 'a newer configuration is in force',
  },
  'config.older-refused': {
    number: 301,
    level: 'warn',
    text: 'an older configuration was offered and refused',
  },
  'config.unreadable': {
    number: 302,
    level: 'error',
    text: 'the stored configuration cannot be read; the one in force stays',
  },
  'config.forked': {
    number: 303,
    level: 'error',
    text: 'the store holds another change under the revision in force',
  },
  'config.from-peer': {
    number: 304,
    level: 'info',
    text: 'a configuration was taken from a peer',
  },
  'config.published': {
    number: 305,
    level: 'info',
    text: 'a change was published through this instance',
  },
  'store.down': {
    number: 400,
    level: 'warn',
    text: "the platform's service does not answer",
  },
  'store.back': {
    number: 401,
    level: 'info',
    text: "the platform's service answers again",
  },
  'peer.refused': {
    number: 500,
    level: 'warn',
    text: 'a peer connection was refused',
  },
  'upstream.out': {
    number: 600,
    level: 'warn',
    text: 'an upstream was taken out of the candidates',
  },
  'upstream.back': {
    number: 601,
    level: 'info',
    text: 'an upstream is a candidate again',
  },
  'upstream.crossed-answer': {
    number: 603,
    level: 'error',
    text: 'an upstream answered with another request; the answer was dropped',
  },
  'claim.unknown': {
    number: 700,
    level: 'warn',
    text: 'a claimed call has no recorded outcome',
  },
  'placement.holder': {
    number: 800,
    level: 'info',
    text: 'this instance holds the placement lease',
  },
  'placement.lost': {
    number: 801,
    level: 'warn',
    text: 'this instance no longer holds the placement lease',
  },
  'placement.order': {
    number: 802,
    level: 'info',
    text: 'an order was sent to an engine',
  },
  'placement.order-failed': {
    number: 803,
    level: 'warn',
    text: 'an order to an engine failed',
  },
} as const satisfies Record<string, EventDefinition>;

/** The name of an event of the catalogue. */
export type EventName = keyof typeof EVENTS;
