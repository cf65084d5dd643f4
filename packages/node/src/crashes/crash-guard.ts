import { notRun, type CancelSignal, type Clock, type Refusal } from '@orioleslip/core'
import type { Log } from '../members/self-record.js'
import { processIdOf, type Announcement } from '../target/local-target.js'
import { createCrashDetector, type CrashDetector, type CrashDetectorOptions, type RunningCall } from './crash-detector.js'
import { createCrashReports, type CrashReports, type CrashReportsOptions } from './crash-reports.js'
import { createCrashTable, MAX_FINGERPRINTS_PER_CRASH } from './crash-table.js'
import { createSuspectLane } from './suspect-lane.js'

/** Decision on a call that is about to be sent to the local target. */
export type CrashAdmission =
  /** `release` is to be called when the call has ended. A suspect call runs while no other suspect one does. */
  | { kind: 'run', asSuspect: boolean, release: () => void }
  | { kind: 'refused', refusal: Refusal }

/** Keeps requests that end the targets that run them from ending further ones. */
export type CrashGuard = {
  /** Decides on a call; a suspect one waits until no other suspect is running at this target. */
  admit: (fingerprint: number, service: string, signal: CancelSignal) => CrashAdmission | Promise<CrashAdmission>
  /** Refusal of an admitted call that other nodes have reported since; asked right before it is sent. */
  refusalBeforeSend: (fingerprint: number, asSuspect: boolean) => Refusal | undefined
  /** Notes that a call is sent to the target. */
  started: (fingerprint: number, process: Announcement) => RunningCall
  /** Notes that the target has completed the call. */
  completed: (call: RunningCall, service: string) => void
  isListening: CrashDetector['isListening']
  /** Takes over what other nodes know of the service; the target gets no calls before. */
  takeOver: CrashReports['takeOver']
  /** Handles a request of another node; undefined for one of another kind. */
  handleRequest: CrashReports['handle']
}

/** Dependencies of `createCrashGuard`. */
export type CrashGuardOptions = {
  clock: Clock
  log: Log
  host: string
  members: CrashReportsOptions['members']
  request: CrashReportsOptions['request']
  /** Called when the local target process has ended by itself. */
  onCrash: (process: Announcement) => void
  probe?: CrashDetectorOptions['probe']
}

/** `Retry-After` of a suspect call that does not run now, in seconds. */
const SUSPECT_RETRY_AFTER_S = 1

const runsAsOthers: CrashAdmission = { kind: 'run', asSuspect: false, release: () => {} }
const refuse = (refusal: Refusal): CrashAdmission => ({ kind: 'refused', refusal })

/** Creates the guard of the local target. */
export function createCrashGuard (options: CrashGuardOptions): CrashGuard {
  const { clock, log, host, members, request, probe } = options
  const table = createCrashTable(clock)
  const lane = createSuspectLane()
  const reports = createCrashReports({ clock, log, members, request, table, onChange: lane.recheck })

  const detector = createCrashDetector({
    clock,
    host,
    ...(probe === undefined ? {} : { probe }),
    onCrash: async (process, running) => {
      const { service, instance } = process
      const fingerprints = [...new Set(running)].slice(0, MAX_FINGERPRINTS_PER_CRASH)
      const crash = { processId: processIdOf(process), fingerprints }
      table.record(crash)
      const blocked = fingerprints.filter((fingerprint) => table.judge(fingerprint).kind === 'blocked')
      log.warn({ event: 'target-crashed', service, instance, fingerprints, blocked }, 'the target process has ended by itself; the calls that it ran are suspect')
      options.onCrash(process)
      await reports.crashed(service, crash)
      lane.recheck()
    }
  })

  /** False when this is the last target of the service that is up, although there are others. */
  const mayRiskTarget = (service: string): boolean => {
    const others = members.ofService(service).filter(({ record }) => record.vmId !== members.self().vmId)
    return others.length === 0 || others.some(({ record, liveness }) => liveness === 'alive' && record.target?.state === 'ready')
  }

  const blockedRefusal = (leftMs: number) =>
    notRun('request-blocked', 'targets ended while they ran this request', Math.max(SUSPECT_RETRY_AFTER_S, Math.ceil(leftMs / 1000)))

  const admitSuspect = async (fingerprint: number, service: string, signal: CancelSignal): Promise<CrashAdmission> => {
    const isSuspect = () => table.judge(fingerprint).kind === 'suspect'
    const release = await lane.enter(isSuspect, signal)
    if (release === undefined) return refuse(notRun('overloaded', 'other calls that may have ended a target are waiting to run', SUSPECT_RETRY_AFTER_S))
    const judgement = table.judge(fingerprint)
    const isBlocked = judgement.kind === 'blocked'
    if (judgement.kind === 'clear' || (!isBlocked && mayRiskTarget(service))) return { kind: 'run', asSuspect: judgement.kind === 'suspect', release }
    release()
    if (isBlocked) return refuse(blockedRefusal(judgement.leftMs))
    return refuse(notRun('no-target', 'the call may have ended a target, and no other target of the service is up', SUSPECT_RETRY_AFTER_S))
  }

  return {
    admit: (fingerprint, service, signal) => {
      const judgement = table.judge(fingerprint)
      switch (judgement.kind) {
        case 'clear': return runsAsOthers
        case 'suspect': return admitSuspect(fingerprint, service, signal)
        case 'blocked': return refuse(blockedRefusal(judgement.leftMs))
      }
    },
    refusalBeforeSend: (fingerprint, asSuspect) => {
      const judgement = table.judge(fingerprint)
      switch (judgement.kind) {
        case 'clear': return undefined
        case 'suspect': return asSuspect ? undefined : notRun('no-target', 'a target has ended while it ran this request; another run is due apart', SUSPECT_RETRY_AFTER_S)
        case 'blocked': return blockedRefusal(judgement.leftMs)
      }
    },
    started: detector.started,
    completed: (call, service) => {
      call.ended()
      if (table.judge(call.fingerprint).kind === 'clear' || !table.clear(call.fingerprint)) return
      lane.recheck()
      reports.cleared(service, call.fingerprint)
    },
    isListening: detector.isListening,
    takeOver: reports.takeOver,
    handleRequest: reports.handle
  }
}
