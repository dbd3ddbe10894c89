/** Records of a cell's stream: what a holder of the cell's lease writes, and how it is parsed. */
import { z } from 'zod'
import { OrderAction } from '@figloom/tables'

const senderSchema = z.object({ host: z.string(), incarnation: z.string() })

const orderSchema = z.object({
  runner: z.string(),
  action: z.enum([OrderAction.Load, OrderAction.Unload, OrderAction.LoadAdapter, OrderAction.UnloadAdapter, OrderAction.SetRole]),
  model: z.string(),
  version: z.string(),
  adapter: z.string().optional(),
  role: z.string().optional(),
  weightsMiB: z.number().nonnegative(),
  kvReserveMiB: z.number().nonnegative(),
  sizeMiB: z.number().nonnegative()
})

const copyState = z.enum(['loading', 'resident', 'unloading'])

const copySchema = z.object({
  model: z.string(),
  version: z.string(),
  weightsMiB: z.number(),
  kvReserveMiB: z.number(),
  state: copyState,
  adapters: z.array(z.object({ name: z.string(), sizeMiB: z.number(), state: copyState }))
})

const observedSchema = z.object({
  name: z.string(),
  url: z.string(),
  availabilityZone: z.string(),
  memoryMiB: z.number(),
  checksFencing: z.boolean(),
  instance: z.string(),
  role: z.string(),
  copies: z.array(copySchema),
  asOfOffset: z.number()
})

/** What a sender says of the only copy of an order that it may send. */
export const Word = {
  /** No copy was sent and none will be. */
  NeverSent: 'never-sent',
  /** The copy was answered; no other will be sent. */
  Answered: 'answered',
  /** The copy was sent and not answered; no other will be sent. */
  Unanswered: 'unanswered'
} as const
export type Word = (typeof Word)[keyof typeof Word]

/** How an order ended. */
export const SettledOutcome = {
  /** In effect, as a later report shows. */
  Done: 'done',
  /** Without effect, as the engine answered. */
  Refused: 'refused',
  /** Answered or lost with its process; the report after it shows no effect. */
  Void: 'void',
  /** Shut out by a later fence in this process of the engine. */
  Fenced: 'fenced'
} as const
export type SettledOutcome = (typeof SettledOutcome)[keyof typeof SettledOutcome]

/** Grounds on which a sender counts as ended. */
export const GoneEvidence = {
  /** The process said that it sends nothing more. */
  OwnWord: 'own-word',
  /** A later process of the same host bound the exclusive inner address of the earlier one. */
  HostRestarted: 'host-restarted',
  /** An operator confirmed that the machine is off. */
  Operator: 'operator'
} as const
export type GoneEvidence = (typeof GoneEvidence)[keyof typeof GoneEvidence]

const bodySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('claim'), sender: senderSchema, succeeds: z.number(), leaseMs: z.number() }),
  z.object({ kind: z.literal('renew'), claim: z.number() }),
  z.object({ kind: z.literal('release'), claim: z.number() }),
  z.object({ kind: z.literal('intent'), claim: z.number(), order: orderSchema, standby: z.boolean().optional() }),
  z.object({ kind: z.literal('withdrawn'), claim: z.number(), intent: z.number(), word: z.enum([Word.NeverSent, Word.Answered, Word.Unanswered]) }),
  z.object({
    kind: z.literal('settled'),
    claim: z.number(),
    intents: z.array(z.object({
      intent: z.number(),
      outcome: z.enum([SettledOutcome.Done, SettledOutcome.Refused, SettledOutcome.Void, SettledOutcome.Fenced])
    })),
    observed: observedSchema
  }),
  z.object({ kind: z.literal('observed'), claim: z.number(), observed: observedSchema }),
  z.object({ kind: z.literal('gone'), claim: z.number(), sender: senderSchema, evidence: z.enum([GoneEvidence.OwnWord, GoneEvidence.HostRestarted, GoneEvidence.Operator]) }),
  z.object({ kind: z.literal('snapshot'), state: z.unknown() })
])

/** A process that may hold the lease: its host and an id that no other process has. */
export type Sender = z.infer<typeof senderSchema>

/** An order as its intent states it; memory in MiB of what the order adds, 0 otherwise. */
export type CellOrder = z.infer<typeof orderSchema>

/** What a holder saw of a runner; `asOfOffset` is the last offset that it had read before it asked for the report. */
export type ObservedRunner = z.infer<typeof observedSchema>

/** Body of a record of a cell's stream. */
export type CellRecordBody = z.infer<typeof bodySchema>

/** Parses a body; undefined for a kind or a form that this release does not know. */
export function parseCellRecord (body: unknown): CellRecordBody | undefined {
  const parsed = bodySchema.safeParse(body)
  return parsed.success ? parsed.data : undefined
}
