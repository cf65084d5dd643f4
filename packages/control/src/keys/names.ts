/** Copy of the names in JSON; `uses` counts the records that refer to each. */
export type NamesState = { names: string[], uses: number[] }

const NAME_LIMIT = 65_535

/** Creates a table of the executors' names, by number. A name without records gives its number free; number 0 is "unknown". */
export function createNames () {
  let names: string[] = ['unknown']
  let uses: number[] = [0]
  let numbers = new Map<string, number>()
  let unused: number[] = []

  return {
    name: (number: number) => names[number] ?? 'unknown',
    /** Counts one more use; returns 0 when all numbers are in use. */
    use: (name: string): number => {
      let number = numbers.get(name)
      if (number === undefined) {
        number = unused.pop() ?? names.length
        if (number > NAME_LIMIT) return 0
        names[number] = name
        uses[number] = 0
        numbers.set(name, number)
      }
      uses[number]!++
      return number
    },
    drop: (number: number) => {
      if (number === 0) return
      uses[number]!--
      if (uses[number]! > 0) return
      numbers.delete(names[number]!)
      unused.push(number)
    },
    snapshot: (): NamesState => ({ names: [...names], uses: [...uses] }),
    restore: (state: NamesState) => {
      names = [...state.names]
      uses = [...state.uses]
      numbers = new Map()
      unused = []
      for (let number = 1; number < names.length; number++) {
        if (uses[number]! > 0) numbers.set(names[number]!, number)
        else unused.push(number)
      }
    }
  }
}
