/** Records of a cell's stream: what the holder of the cell's lease writes, and how it is parsed. */
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

/** Delivery status of an order as its sender reports it, stored as `word`. A sender sends an order at most once. */
export const DeliveryStatus = {
  /** The order was not sent and will not be, or the engine refused it. */
  NeverSent: 'never-sent',
  /** The order was sent and answered. */
  Answered: 'answered',
  /** The order was sent but not answered; it may still take effect. */
  Unanswered: 'unanswered'
} as const
export type DeliveryStatus = (typeof DeliveryStatus)[keyof typeof DeliveryStatus]

/** How an order was settled. */
export const SettledOutcome = {
  /** A later report shows the effect. */
  Done: 'done',
  /** The engine answered that the order had no effect, or the order was not sent. */
  Refused: 'refused',
  /** Answered, or lost with the engine process; a later report shows no effect. */
  Void: 'void',
  /** Rejected by a later fence in this engine process. */
  Fenced: 'fenced'
} as const
export type SettledOutcome = (typeof SettledOutcome)[keyof typeof SettledOutcome]

/** Evidence that a sender has ended and sends no more orders. */
export const GoneEvidence = {
  /** The process itself reported that it sends no more orders. */
  SelfReported: 'own-word',
  /** A later process of the same host bound the inner address of the earlier one, which only one process can bind. */
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
  z.object({
    kind: z.literal('withdrawn'),
    claim: z.number(),
    intent: z.number(),
    word: z.enum([DeliveryStatus.NeverSent, DeliveryStatus.Answered, DeliveryStatus.Unanswered])
  }),
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
  z.object({
    kind: z.literal('gone'),
    claim: z.number(),
    sender: senderSchema,
    evidence: z.enum([GoneEvidence.SelfReported, GoneEvidence.HostRestarted, GoneEvidence.Operator])
  }),
  z.object({ kind: z.literal('snapshot'), state: z.unknown() })
])

/** A process that may hold the lease: its host and an id unique to the process. */
export type Sender = z.infer<typeof senderSchema>

/** An order as its intent records it; the MiB fields are the memory that the order adds, 0 if it adds none. */
export type CellOrder = z.infer<typeof orderSchema>

/** A runner as a holder observed it; `asOfOffset` is the last offset that it had read when the report's figures were taken. */
export type ObservedRunner = z.infer<typeof observedSchema>

/** Body of a record of a cell's stream. */
export type CellRecordBody = z.infer<typeof bodySchema>

/** Parses a body; undefined if this release does not know its kind or format. */
export function parseCellRecord (body: unknown): CellRecordBody | undefined {
  const parsed = bodySchema.safeParse(body)
  return parsed.success ? parsed.data : undefined
}
