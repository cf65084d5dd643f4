/** JSON snapshot of the names; `uses` counts the records that refer to each. */
export type ExecutorNamesState = { names: string[], uses: number[] }

const MAX_NUMBER = 65_535

/**
 * Creates the table of executor names by number, so that a record stores a number of 16 bits instead of a name. A name that no
 * record refers to frees its number; number 0 is "unknown".
 */
export function createExecutorNames () {
  let names: string[] = ['unknown']
  let uses: number[] = [0]
  let numbers = new Map<string, number>()
  let freeNumbers: number[] = []

  return {
    name: (number: number) => names[number] ?? 'unknown',
    /** Adds a reference to a name and returns its number; 0 when all numbers are in use. */
    acquire: (name: string): number => {
      let number = numbers.get(name)
      if (number === undefined) {
        number = freeNumbers.pop() ?? names.length
        if (number > MAX_NUMBER) return 0
        names[number] = name
        uses[number] = 0
        numbers.set(name, number)
      }
      uses[number]!++
      return number
    },
    /** Removes a reference to a name. */
    release: (number: number) => {
      if (number === 0) return
      uses[number]!--
      if (uses[number]! > 0) return
      numbers.delete(names[number]!)
      freeNumbers.push(number)
    },
    snapshot: (): ExecutorNamesState => ({ names: [...names], uses: [...uses] }),
    restore: (state: ExecutorNamesState) => {
      names = [...state.names]
      uses = [...state.uses]
      numbers = new Map()
      freeNumbers = []
      for (let number = 1; number < names.length; number++) {
        if (uses[number]! > 0) numbers.set(names[number]!, number)
        else freeNumbers.push(number)
      }
    }
  }
}
