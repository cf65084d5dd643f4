import test from 'ava'
import { createEndableApp } from './last-answers.js'

const MESSAGE = 'the process is stopping; ask another'

/** An application whose requests get their response when the test says so. */
function createFixture () {
  const ends = new Map<string, (response: Response) => void>()
  const started: string[] = []
  const app = createEndableApp((name: string) => {
    started.push(name)
    return new Promise<Response>((resolve) => { ends.set(name, resolve) })
  }, MESSAGE)
  return { app, started, end: (name: string) => ends.get(name)!(new Response(name)) }
}

const textOf = async (response: Promise<Response> | Response) => [(await response).status, await (await response).text()]

// Guards against a request that a stop leaves without an answer, against one that begins after its refusal, and against an answer that is
// given twice or in place of the one that came before.
test('open requests and later ones are refused, and those that have ended keep their answer', async (t) => {
  const { app, started, end } = createFixture()
  const soon = app.fetch('soon')
  const late = app.fetch('late')
  end('soon')
  t.deepEqual(await textOf(soon), [200, 'soon'])
  app.refuseOpen()
  end('late')
  const refused = [503, JSON.stringify({ Error: MESSAGE })]
  t.deepEqual(await textOf(late), refused)
  t.deepEqual(await textOf(app.fetch('new')), refused)
  t.deepEqual(started, ['soon', 'late'])
})
