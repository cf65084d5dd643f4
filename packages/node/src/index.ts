export { createListsPoller, type ListsPoller, type ListsPollerOptions } from './lists/poller.js'
