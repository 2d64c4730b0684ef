import { createMailbox } from '../mailbox'

describe('createMailbox', () => {
  it('handles one message at a time, in order', async () => {
    const steps: string[] = []
    const mailbox = createMailbox<string>({
      capacity: 10,
      handle: async message => {
        steps.push(`begin ${message}`)
        await Promise.resolve()
        steps.push(`end ${message}`)
      },
      onError: () => {}
    })
    mailbox.send('a')
    mailbox.send('b')
    await mailbox.close()
    expect(steps).toEqual(['begin a', 'end a', 'begin b', 'end b'])
  })

  it('rejects messages above its capacity and after it is closed', async () => {
    const mailbox = createMailbox<number>({ capacity: 1, handle: () => {}, onError: () => {} })
    expect(mailbox.send(1)).toBe(true)
    expect(mailbox.send(2)).toBe(false)
    await mailbox.close()
    expect(mailbox.send(3)).toBe(false)
  })

  it('continues after a handler has failed', async () => {
    const handled: number[] = []
    const failed: number[] = []
    const mailbox = createMailbox<number>({
      capacity: 10,
      handle: message => {
        if (message === 1) throw new Error('first message is bad')
        handled.push(message)
      },
      onError: (_error, message) => failed.push(message)
    })
    mailbox.send(1)
    mailbox.send(2)
    await mailbox.close()
    expect(failed).toEqual([1])
    expect(handled).toEqual([2])
  })
})
