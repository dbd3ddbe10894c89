/** Converts requests for tokens of customers' quotas, and replies, to and from messages of the protocol between hosts. */
import { create } from '@bufbuild/protobuf'
import { TakeTokensRequestSchema, TakeTokensResponseSchema, type TakeTokensRequest, type TakeTokensResponse } from '@figloom/protocol'
import type { TokenReply, TokenRequest } from '../quota/types.js'

/** Largest value of a number of tokens in a message. */
const MAX_TOKENS = 2 ** 32 - 1

/** All requests of a message are of one host and one version of its configuration. */
export function toTokenMessage (requests: readonly TokenRequest[]): TakeTokensRequest {
  return create(TakeTokensRequestSchema, {
    host: requests[0]?.host,
    configVersion: BigInt(requests[0]?.terms.version ?? 0),
    requests: requests.map(({ customer, part, terms, wanted, spent }) => ({
      customer,
      part,
      wanted: wanted.map((tokens) => Math.min(MAX_TOKENS, Math.ceil(tokens))),
      spent,
      ratePerS: terms.ratePerS,
      burst: terms.burst,
      parts: terms.parts
    }))
  })
}

export function toTokenRequests ({ host, configVersion, requests }: TakeTokensRequest): TokenRequest[] {
  return requests.map(({ customer, part, wanted, spent, ratePerS, burst, parts }) => ({ host, customer, part, wanted, spent, terms: { ratePerS, burst, parts: Math.max(1, parts), version: Number(configVersion) } }))
}

export function toTokenReplyMessage (replies: readonly TokenReply[]): TakeTokensResponse {
  return create(TakeTokensResponseSchema, {
    replies: replies.map(({ granted, left, retryAfterMs, isPlentiful, hosts, isElsewhere }) => ({ granted, left, retryAfterMs, plentiful: isPlentiful, hosts, elsewhere: isElsewhere }))
  })
}

export function toTokenReplies ({ replies }: TakeTokensResponse): TokenReply[] {
  return replies.map(({ granted, left, retryAfterMs, plentiful, hosts, elsewhere }) => ({ granted, left, retryAfterMs, isPlentiful: plentiful, hosts, isElsewhere: elsewhere }))
}
