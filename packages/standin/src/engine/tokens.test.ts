import t from 'tap'
import { answerText, tokenAt, createTokenGenerator, toPrompt } from './tokens.js'

t.test('tokens depend on the whole prompt and the index', async (t) => {
  const prompts = ['a', 'b', 'ab', 'ba', toPrompt([{ role: 'user', content: 'a' }]), toPrompt([{ role: 'system', content: 'a' }])]
  const tokens = prompts.flatMap((prompt) => [0, 1, 2].map(createTokenGenerator(prompt)))
  t.equal(new Set(tokens).size, tokens.length)
  t.equal(answerText('a', 3), [0, 1, 2].map((index) => tokenAt('a', index)).join(''))
  t.equal(answerText('a', 3, 1), tokenAt('a', 1) + tokenAt('a', 2))
})

t.test('tokens are the same in every release', async (t) => {
  t.equal(answerText('user: hello', 3), 'ddd77cf3 dcd77b60 dfd78019 ')
})
