import {z} from 'zod';

/** How a stand-in behaves. */
export const faultSettingSchema = z.object({
  /**
   * ok: as it should; failing: answers 500; wedged: takes work and never ends
   * it; leaving: refuses new work with 503; crossed: gives another request's
   * answer under its identity; cutting: breaks answers off half way;
   * truncating: ends streams half way as if they were whole.
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
  /** Factor on every duration. */
  slowFactor: z.number().positive().default(1),
});
/** How a stand-in behaves. */
export type FaultSetting = z.infer<typeof faultSettingSchema>;

/** Holds the fault that is switched on. */
export class FaultSwitch {
  private setting: FaultSetting = faultSettingSchema.parse({});

  getSetting(): FaultSetting {
    return this.setting;
  }

  setSetting(setting: Partial<FaultSetting>): void {
    this.setting = {...this.setting, ...setting};
  }
}
