import t from 'tap'
import { runSoak } from './app.mjs'

t.setTimeout(120_000)

for (const seed of [1, 2]) {
  t.test(`real hosts keep their promises under the troubles of seed ${seed}`, async (t) => {
    const { broken, answers } = await runSoak({ seed, seconds: 18, hostCount: 4, verbose: false })
    t.same(broken, [])
    t.ok(answers['stream whole'] > 0 && answers['book whole'] > 0 && answers['read whole'] > 0)
  })
}
