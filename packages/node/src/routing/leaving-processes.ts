/** VMs of which the leaving process is remembered; the oldest one is forgotten first. */
const MAX_VMS = 10_000

/**
 * Creates the memory of the target processes that have said that they leave, by VM. It outlives a restart of the node beside the target:
 * calls to the VM carry the process, so that the restarted node learns of it.
 */
export function createLeavingProcesses () {
  const byVm = new Map<string, number>()
  return {
    record: (vmId: string, processId: number): void => {
      byVm.delete(vmId)
      byVm.set(vmId, processId)
      if (byVm.size > MAX_VMS) byVm.delete(byVm.keys().next().value!)
    },
    /** Process at the VM that leaves, as last reported; the VM may have another one by now. */
    of: (vmId: string): number | undefined => byVm.get(vmId)
  }
}
