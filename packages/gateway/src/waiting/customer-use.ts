/** What each customer has at the runners by way of this host, for what it pays. State without I/O. */
import type { Customer } from '../config/types.js'

export class CustomerUse {
  readonly #use = new Map<string, { inFlight: number, ratePerS: number }>()

  private constructor () {}

  static create (): CustomerUse {
    return new CustomerUse()
  }

  onSent (customer: Customer | undefined): void {
    if (customer === undefined) return
    const inFlight = this.#use.get(customer.name)?.inFlight ?? 0
    this.#use.set(customer.name, { inFlight: inFlight + 1, ratePerS: customer.quota?.ratePerS ?? 1 })
  }

  onLeft (customer: Customer | undefined): void {
    const use = customer === undefined ? undefined : this.#use.get(customer.name)
    if (customer === undefined || use === undefined) return
    if (use.inFlight > 1) use.inFlight -= 1
    else this.#use.delete(customer.name)
  }

  /** Requests at the runners for each unit a second of the customer's quota. */
  relativeTo (customer: string): number {
    const use = this.#use.get(customer)
    return use === undefined ? 0 : use.inFlight / Math.max(1, use.ratePerS)
  }
}
