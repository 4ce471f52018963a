import {
  partVerdictReportSchema,
  suspectReportSchema,
  type PartVerdictReport,
  type SuspectReport,
} from '@hollowstack/types';
import {
  computeVerdictKey,
  type SuspectPartTable,
} from './suspect-part-table.ts';
import type {SuspectTable} from './suspect-table.ts';

/** A kind of verdict that is persisted in the store, and the table that holds such verdicts. */
export abstract class StoredVerdicts<Report> {
  /** Store key prefix of the verdicts. */
  abstract readonly prefix: string;

  abstract listVerdicts(): Report[];

  /** @param source Origin of the verdicts, for the log. */
  abstract applyVerdicts(verdicts: readonly Report[], source: string): void;

  /** Returns what follows the prefix in the store key of a verdict. */
  abstract getId(verdict: Report): string;

  /** @throws ZodError if the value is no verdict of this kind. */
  abstract parseVerdict(value: unknown): Report;
}

/** Verdicts on whole requests. */
export class StoredRequestVerdicts extends StoredVerdicts<SuspectReport> {
  readonly prefix = 'hollowstack/quarantine/';
  private readonly table: Pick<SuspectTable, 'listVerdicts' | 'applyReports'>;

  constructor(table: Pick<SuspectTable, 'listVerdicts' | 'applyReports'>) {
    super();
    this.table = table;
  }

  listVerdicts(): SuspectReport[] {
    return this.table.listVerdicts();
  }

  applyVerdicts(verdicts: readonly SuspectReport[], source: string): void {
    this.table.applyReports(verdicts, source);
  }

  getId({fingerprint}: SuspectReport): string {
    return fingerprint;
  }

  parseVerdict(value: unknown): SuspectReport {
    return suspectReportSchema.parse(value);
  }
}

/** Verdicts on prompt parts; instances of older versions do not read their prefix. */
export class StoredPartVerdicts extends StoredVerdicts<PartVerdictReport> {
  readonly prefix = 'hollowstack/quarantined-parts/';
  private readonly table: Pick<
    SuspectPartTable,
    'listVerdicts' | 'applyVerdicts'
  >;

  constructor(table: Pick<SuspectPartTable, 'listVerdicts' | 'applyVerdicts'>) {
    super();
    this.table = table;
  }

  listVerdicts(): PartVerdictReport[] {
    return this.table.listVerdicts();
  }

  applyVerdicts(verdicts: readonly PartVerdictReport[], source: string): void {
    this.table.applyVerdicts(verdicts, source);
  }

  getId(verdict: PartVerdictReport): string {
    return computeVerdictKey(verdict);
  }

  parseVerdict(value: unknown): PartVerdictReport {
    return partVerdictReportSchema.parse(value);
  }
}
