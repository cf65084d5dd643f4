/** The tests of the faults in KNOWN-RED.txt that have one of their own; they fail, and CI prints them. */
export default {
  files: ['packages/*/dist/**/*.known-red.js', 'platform/dist/**/*.known-red.js'],
  timeout: '120s'
}
