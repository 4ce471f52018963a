import {z} from 'zod';

/** Fault mode and slow-down of a stand-in. */
export const faultSettingSchema = z.object({
  /**
   * ok: no fault; failing: answers 500; wedged: accepts work and never finishes
   * it; leaving: rejects new work with 503; crossed: returns the answer to
   * another request, with that request's attempt id; cutting: breaks the
   * connection midway through an answer; truncating: ends streams midway
   * without the end marker or an error.
   */
  mode: z
    .enum([
      'ok',
      'failing',
      'wedged',
      'leaving',
      'crossed',
      'cutting',
      'truncating',
    ])
    .default('ok'),
  /** Multiplier of the durations of work. */
  slowFactor: z.number().positive().default(1),
});
/** Fault mode and slow-down of a stand-in. */
export type FaultSetting = z.infer<typeof faultSettingSchema>;

/** Holds the current fault setting of a stand-in. */
export class FaultSwitch {
  private setting: FaultSetting = faultSettingSchema.parse({});

  getSetting(): FaultSetting {
    return this.setting;
  }

  setSetting(setting: Partial<FaultSetting>): void {
    this.setting = {...this.setting, ...setting};
  }
}
